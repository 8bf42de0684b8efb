package org.primrosegauge.core.keeper;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.Term;
import org.primrosegauge.core.keeper.QuorumResult.Outcome;
import org.primrosegauge.core.keeper.cfg.KeeperSettings;

/**
 * The quorum's record of the keepers' offices: part of the state that the replicated log
 * determines. It hands out terms, records renewals and decides when an instance set is in force.
 *
 * <p>Log time is the time that the leader stamps on each entry, in milliseconds. It never goes
 * back, and a new leader continues from the last stamp that it applied, adding only what has passed
 * on its own clock since: log time thus never runs ahead of true time by more than the drift.
 *
 * <p>Single-threaded and deterministic; created empty or from the states in a snapshot.
 *
 * @since 0.1
 */
public final class KeeperOffices {

  private final KeeperSettings settings;
  private final SortedMap<FailureDomainId, KeeperOfficeState> states = new TreeMap<>();

  // Life-cycle

  /**
   * Creates an empty record.
   *
   * @since 0.1
   */
  public KeeperOffices(KeeperSettings settings) {
    this.settings = Objects.requireNonNull(settings);
  }

  /**
   * Creates a record from the states in a snapshot.
   *
   * @since 0.1
   */
  public KeeperOffices(KeeperSettings settings, List<KeeperOfficeState> states) {
    this(settings);
    states.forEach(state -> this.states.put(state.office().domain(), state));
  }

  // Accessors

  /**
   * Returns the office of a domain.
   *
   * @since 0.1
   */
  public KeeperOffice office(FailureDomainId domain) {
    return state(domain).office();
  }

  /**
   * Returns all states, by domain, for a snapshot.
   *
   * @since 0.1
   */
  public List<KeeperOfficeState> states() {
    return List.copyOf(states.values());
  }

  // Entries of the log

  /**
   * Replaces the instance set of a domain. The first set is in force at once; a later one is
   * pending until {@link #acknowledge} or {@link #confirmStopped}. One change at a time: while one
   * is pending, another is refused.
   *
   * @since 0.1
   */
  public QuorumResult configure(FailureDomainId domain, List<InstanceId> members) {
    KeeperOfficeState state = state(domain);
    SetView sets = state.office().sets();
    InstanceSet next = new InstanceSet(sets.latest().version() + 1, members);
    if (next.members().equals(sets.latest().members())) {
      return granted(state);
    }
    if (sets.isChanging()) {
      return refused(Outcome.UNKNOWN_SET, state);
    }
    boolean first = sets.active().members().isEmpty();
    SetView changed =
        first ? new SetView(next, InstanceSet.NONE) : new SetView(sets.active(), next);
    return granted(state.withSets(changed));
  }

  /**
   * Records that an instance relies on no older set. The pending set is in force once the holder of
   * the last term has acknowledged it, or every member of the old set.
   *
   * @param term term that is in effect at the instance, or {@link Term#NONE}
   * @since 0.1
   */
  public QuorumResult acknowledge(
      FailureDomainId domain, InstanceId instance, Term term, long version) {
    KeeperOfficeState state = state(domain);
    SetView sets = state.office().sets();
    if (!sets.isChanging() || sets.pending().version() != version) {
      return refused(Outcome.UNKNOWN_SET, state);
    }
    KeeperOfficeState acknowledged = state.withAcknowledgement(instance);
    boolean byHolder = isHeldBy(state.office(), instance, term);
    boolean byAll = acknowledged.acknowledgements().containsAll(sets.active().members());
    return granted(byHolder || byAll ? acknowledged.withPendingInForce() : acknowledged);
  }

  /**
   * Puts a pending set in force on an operator's word that every old member that has not
   * acknowledged it is stopped for good. If one of them runs on, two keepers may exist.
   *
   * @since 0.1
   */
  public QuorumResult confirmStopped(FailureDomainId domain, long version) {
    KeeperOfficeState state = state(domain);
    SetView sets = state.office().sets();
    if (!sets.isChanging() || sets.pending().version() != version) {
      return refused(Outcome.UNKNOWN_SET, state);
    }
    return granted(state.withPendingInForce());
  }

  /**
   * Hands the office to an instance under a new term, if the last term is the one expected and its
   * lease by the quorum has run out. A lease by the peers may still run: the instance itself waits
   * until its own promise is over.
   *
   * @since 0.1
   */
  public QuorumResult acquire(
      FailureDomainId domain, InstanceId instance, Term expected, long logMillis) {
    KeeperOfficeState state = state(domain);
    KeeperOffice office = state.office();
    if (!office.term().equals(expected)) {
      return refused(Outcome.STALE_TERM, state);
    }
    if (!office.sets().isEligible(instance)) {
      return refused(Outcome.NOT_ELIGIBLE, state);
    }
    if (logMillis < state.grantedUntilMillis()) {
      return refused(Outcome.LEASE_RUNNING, state);
    }
    KeeperOffice next =
        new KeeperOffice(domain, expected.next(), Optional.of(instance), office.sets());
    return granted(state.withOffice(next).withGrantedUntil(promiseEnd(logMillis)));
  }

  /**
   * Renews the lease of the holder of the last term.
   *
   * @since 0.1
   */
  public QuorumResult renew(
      FailureDomainId domain, InstanceId instance, Term term, long logMillis) {
    KeeperOfficeState state = state(domain);
    if (!isHeldBy(state.office(), instance, term)) {
      return refused(Outcome.STALE_TERM, state);
    }
    return granted(state.withGrantedUntil(promiseEnd(logMillis)));
  }

  // Internals

  private long promiseEnd(long logMillis) {
    return logMillis + settings.promiseMillis();
  }

  private static boolean isHeldBy(KeeperOffice office, InstanceId instance, Term term) {
    return !term.equals(Term.NONE)
        && office.term().equals(term)
        && office.holder().equals(Optional.of(instance));
  }

  private KeeperOfficeState state(FailureDomainId domain) {
    KeeperOfficeState state = states.get(domain);
    return state == null ? KeeperOfficeState.vacant(domain) : state;
  }

  private QuorumResult granted(KeeperOfficeState state) {
    states.put(state.office().domain(), state);
    return new QuorumResult(Outcome.GRANTED, state.office());
  }

  private static QuorumResult refused(Outcome outcome, KeeperOfficeState state) {
    return new QuorumResult(outcome, state.office());
  }
}
