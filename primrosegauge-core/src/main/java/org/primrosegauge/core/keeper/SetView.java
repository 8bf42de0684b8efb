package org.primrosegauge.core.keeper;

import java.util.List;
import java.util.stream.Stream;
import org.primrosegauge.core.InstanceId;

/**
 * The instance set in force and the one that shall replace it. While a change is pending, a holder
 * renews by every member of either set, and only a member of both may acquire the office.
 *
 * @param active set in force
 * @param pending set that waits for acknowledgements; {@link InstanceSet#NONE} when there is none
 * @since 0.1
 */
public record SetView(InstanceSet active, InstanceSet pending) {

  /** Before the first configuration. */
  public static final SetView NONE = new SetView(InstanceSet.NONE, InstanceSet.NONE);

  /**
   * Tells whether a change waits for acknowledgements.
   *
   * @since 0.1
   */
  public boolean isChanging() {
    return pending.version() > active.version();
  }

  /**
   * Returns the newest set.
   *
   * @since 0.1
   */
  public InstanceSet latest() {
    return isChanging() ? pending : active;
  }

  /**
   * Returns the members of either set, sorted: those whose grants a holder needs.
   *
   * @since 0.1
   */
  public List<InstanceId> required() {
    if (!isChanging()) {
      return active.members();
    }
    return Stream.concat(active.members().stream(), pending.members().stream())
        .sorted()
        .distinct()
        .toList();
  }

  /**
   * Tells whether an instance may acquire the office.
   *
   * @since 0.1
   */
  public boolean isEligible(InstanceId instance) {
    return active.contains(instance) && latest().contains(instance);
  }

  /**
   * Tells whether this view was recorded later than another.
   *
   * @since 0.1
   */
  public boolean isNewerThan(SetView other) {
    if (active.version() != other.active.version()) {
      return active.version() > other.active.version();
    }
    return pending.version() > other.pending.version();
  }
}
