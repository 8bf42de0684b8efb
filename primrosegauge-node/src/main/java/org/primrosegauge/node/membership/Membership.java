package org.primrosegauge.node.membership;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.Revision;
import org.primrosegauge.core.Term;
import org.primrosegauge.core.membership.InstanceDirectory;
import org.primrosegauge.core.membership.InstanceStatus;
import org.primrosegauge.node.duty.MonotonicClock;
import org.primrosegauge.node.transport.PeerTransport;

/**
 * Tells the other instances about this one and remembers what they tell.
 *
 * <p>The own domain hears a status often, the other domains seldom: with 63 instances in 21 domains
 * that is 2 statuses a second to the domain and 6 a second to all others. A change of office or of
 * the revision in force is told to all at once.
 *
 * <p>Thread-safe: methods are synchronized and short. {@link #tick} is called by one duty.
 *
 * @since 0.1
 */
public final class Membership {

  /** Interval of statuses within the failure domain, in milliseconds. */
  public static final long NEAR_INTERVAL_MILLIS = 1_000;

  /** Interval of statuses to other failure domains, in milliseconds. */
  public static final long FAR_INTERVAL_MILLIS = 5_000;

  /** Silence after which an instance counts as unreachable, in milliseconds. */
  public static final long EXPIRY_MILLIS = 3 * FAR_INTERVAL_MILLIS;

  /** What changes in the own status. */
  public record OwnState(
      boolean ready,
      Term keeperTerm,
      Revision inForce,
      Revision switchInForce,
      int freeAccelerators) {

    private boolean differsUrgently(OwnState other) {
      return other == null
          || ready != other.ready
          || !keeperTerm.equals(other.keeperTerm)
          || !inForce.equals(other.inForce)
          || !switchInForce.equals(other.switchInForce);
    }
  }

  private final InstanceId self;
  private final FailureDomainId domain;
  private final String httpAddress;
  private final long incarnation;
  private final PeerTransport transport;
  private final MonotonicClock clock;
  private final Supplier<OwnState> ownState;
  private final InstanceDirectory directory;
  private final AtomicLong sequence = new AtomicLong();
  private OwnState lastTold;
  private long nextNear;
  private long nextFar;

  /**
   * Creates the membership.
   *
   * @param members all configured instances, this one included
   * @param incarnation start time of the process; grows with each start
   * @param ownState called at each tick for what this instance tells
   * @since 0.1
   */
  public Membership(
      InstanceId self,
      String httpAddress,
      Map<InstanceId, FailureDomainId> members,
      long incarnation,
      PeerTransport transport,
      MonotonicClock clock,
      Supplier<OwnState> ownState) {
    this.self = self;
    this.domain = members.get(self);
    this.httpAddress = httpAddress;
    this.incarnation = incarnation;
    this.transport = transport;
    this.clock = clock;
    this.ownState = ownState;
    this.directory = new InstanceDirectory(members, EXPIRY_MILLIS);
    transport.onTell(InstanceStatus.class, (from, status) -> received(from, status));
  }

  // Accessors

  /**
   * Returns this instance.
   *
   * @since 0.1
   */
  public InstanceId self() {
    return self;
  }

  /**
   * Returns the failure domain of this instance.
   *
   * @since 0.1
   */
  public FailureDomainId domain() {
    return domain;
  }

  /**
   * Returns all configured instances, sorted.
   *
   * @since 0.1
   */
  public List<InstanceId> members() {
    return directory.members();
  }

  /**
   * Returns the instances of a failure domain, sorted.
   *
   * @since 0.1
   */
  public List<InstanceId> membersOf(FailureDomainId other) {
    return directory.membersOf(other);
  }

  /**
   * Returns the failure domains that have instances, sorted.
   *
   * @since 0.1
   */
  public List<FailureDomainId> domains() {
    TreeSet<FailureDomainId> domains = new TreeSet<>();
    directory.members().forEach(member -> domains.add(directory.domainOf(member).orElseThrow()));
    return List.copyOf(domains);
  }

  /**
   * Returns the likely keeper of a failure domain.
   *
   * @since 0.1
   */
  public synchronized Optional<InstanceId> keeperOf(FailureDomainId other) {
    return directory.keeperOf(other, clock.nowMillis()).map(InstanceStatus::instance);
  }

  /**
   * Returns the last status of an instance, if it is not too old.
   *
   * @since 0.1
   */
  public synchronized Optional<InstanceStatus> status(InstanceId instance) {
    return directory.status(instance, clock.nowMillis());
  }

  /**
   * Returns the instances that have not reported a revision.
   *
   * @since 0.1
   */
  public synchronized List<InstanceId> notInForce(Revision revision) {
    return directory.notInForce(revision, clock.nowMillis());
  }

  /**
   * Returns the domain with the most free accelerators among those whose keeper is known, the own
   * one at a tie or when no keeper is known.
   *
   * @since 0.1
   */
  public synchronized FailureDomainId bestDomain() {
    long now = clock.nowMillis();
    return domains().stream()
        .flatMap(other -> directory.keeperOf(other, now).stream())
        .filter(InstanceStatus::ready)
        .max(
            Comparator.comparingInt(InstanceStatus::freeAccelerators)
                .thenComparing(status -> status.domain().equals(domain)))
        .map(InstanceStatus::domain)
        .orElse(domain);
  }

  // Main API

  /**
   * Tells the others what is due.
   *
   * @since 0.1
   */
  public synchronized void tick(long nowMillis) {
    OwnState state = ownState.get();
    boolean urgent = state.differsUrgently(lastTold);
    if (urgent || nowMillis >= nextFar) {
      tell(state, directory.members(), nowMillis);
      nextFar = nowMillis + FAR_INTERVAL_MILLIS;
      nextNear = nowMillis + NEAR_INTERVAL_MILLIS;
    } else if (nowMillis >= nextNear) {
      tell(state, directory.membersOf(domain), nowMillis);
      nextNear = nowMillis + NEAR_INTERVAL_MILLIS;
    }
  }

  // Internals

  private void tell(OwnState state, List<InstanceId> receivers, long nowMillis) {
    lastTold = state;
    InstanceStatus status =
        new InstanceStatus(
            self,
            domain,
            incarnation,
            sequence.incrementAndGet(),
            state.ready(),
            state.keeperTerm(),
            state.inForce(),
            state.switchInForce(),
            state.freeAccelerators(),
            httpAddress);
    directory.received(status, nowMillis);
    for (InstanceId receiver : receivers) {
      if (!receiver.equals(self)) {
        transport.tell(receiver, status);
      }
    }
  }

  private synchronized void received(InstanceId from, InstanceStatus status) {
    if (from.equals(status.instance())) {
      directory.received(status, clock.nowMillis());
    }
  }
}
