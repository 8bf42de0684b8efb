package org.primrosegauge.core.keeper;

import java.util.List;
import org.primrosegauge.core.InstanceId;

/**
 * The configured instances of a failure domain, as of one version.
 *
 * @param version 0 for the empty set; each change adds one
 * @param members instances, sorted
 * @since 0.1
 */
public record InstanceSet(long version, List<InstanceId> members) {

  /** The empty set, before the first configuration. */
  public static final InstanceSet NONE = new InstanceSet(0, List.of());

  /** Sorts and copies the members. */
  public InstanceSet {
    members = members.stream().sorted().distinct().toList();
  }

  /**
   * Tells whether an instance is a member.
   *
   * @since 0.1
   */
  public boolean contains(InstanceId instance) {
    return members.contains(instance);
  }
}
