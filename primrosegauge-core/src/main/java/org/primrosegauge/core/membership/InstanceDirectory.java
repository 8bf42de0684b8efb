package org.primrosegauge.core.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.Revision;

/**
 * What this instance has heard from the others. It decides nothing that needs agreement: it names
 * the likely keeper of a domain (a wrong guess is answered by a redirect) and shows operators where
 * a revision is in force.
 *
 * <p>Single-threaded; lives as long as the process.
 *
 * @since 0.1
 */
public final class InstanceDirectory {

  private record Heard(InstanceStatus status, long atMillis) {}

  private final Map<InstanceId, FailureDomainId> members;
  private final long expiryMillis;
  private final Map<InstanceId, Heard> heard = new HashMap<>();

  /**
   * Creates a directory that has heard nothing.
   *
   * @param members all configured instances and their failure domains
   * @param expiryMillis time after which a silent instance counts as unreachable, in milliseconds
   * @since 0.1
   */
  public InstanceDirectory(Map<InstanceId, FailureDomainId> members, long expiryMillis) {
    this.members = Map.copyOf(members);
    this.expiryMillis = expiryMillis;
  }

  // Accessors

  /**
   * Returns all configured instances, sorted.
   *
   * @since 0.1
   */
  public List<InstanceId> members() {
    return members.keySet().stream().sorted().toList();
  }

  /**
   * Returns the failure domain of a configured instance.
   *
   * @since 0.1
   */
  public Optional<FailureDomainId> domainOf(InstanceId instance) {
    return Optional.ofNullable(members.get(instance));
  }

  /**
   * Returns the configured instances of a failure domain, sorted.
   *
   * @since 0.1
   */
  public List<InstanceId> membersOf(FailureDomainId domain) {
    return members.entrySet().stream()
        .filter(member -> member.getValue().equals(domain))
        .map(Map.Entry::getKey)
        .sorted()
        .toList();
  }

  /**
   * Returns the last status of an instance, if it is not too old.
   *
   * @since 0.1
   */
  public Optional<InstanceStatus> status(InstanceId instance, long nowMillis) {
    Heard last = heard.get(instance);
    boolean fresh = last != null && nowMillis - last.atMillis() < expiryMillis;
    return fresh ? Optional.of(last.status()) : Optional.empty();
  }

  /**
   * Returns the instance that says under the highest term that it is the keeper of a domain.
   *
   * @since 0.1
   */
  public Optional<InstanceStatus> keeperOf(FailureDomainId domain, long nowMillis) {
    return fresh(nowMillis).stream()
        .filter(status -> status.domain().equals(domain) && status.isKeeper())
        .max(Comparator.comparing(InstanceStatus::keeperTerm));
  }

  /**
   * Returns the instances that have not reported a revision, sorted. Instances that are not heard
   * of are among them: whether it is in force there is not known.
   *
   * @since 0.1
   */
  public List<InstanceId> notInForce(Revision revision, long nowMillis) {
    List<InstanceId> missing = new ArrayList<>();
    for (InstanceId member : members()) {
      boolean reported =
          status(member, nowMillis)
              .map(status -> status.inForce().compareTo(revision) >= 0)
              .orElse(false);
      if (!reported) {
        missing.add(member);
      }
    }
    return missing;
  }

  // Events

  /**
   * Takes a status. One of an unknown instance, or older than the last one, changes nothing.
   *
   * @return whether it was taken
   * @since 0.1
   */
  public boolean received(InstanceStatus status, long nowMillis) {
    if (!status.domain().equals(members.get(status.instance()))) {
      return false;
    }
    Heard last = heard.get(status.instance());
    if (last != null && !status.isNewerThan(last.status())) {
      return false;
    }
    heard.put(status.instance(), new Heard(status, nowMillis));
    return true;
  }

  // Internals

  private List<InstanceStatus> fresh(long nowMillis) {
    return heard.keySet().stream().flatMap(id -> status(id, nowMillis).stream()).toList();
  }
}
