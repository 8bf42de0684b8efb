package org.primrosegauge.core.keeper;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.Term;
import org.primrosegauge.core.keeper.KeeperMessage.RefusalReason;
import org.primrosegauge.core.keeper.cfg.KeeperSettings;

/**
 * One instance's part in the keeper's lease of its failure domain: candidate, holder and granter.
 *
 * <p>The office and its term come from the quorum only. A lease is renewed by the quorum, or by
 * every other member of the domain's instance sets. A granter promises not to take the office until
 * the promise ran out on its own clock. The holder counts from when it sent the request, the
 * granter from when it received it, and both allow for drift. An office whose lease ran out is over
 * for good. {@code docs/design/keeper-lease.md} argues why two instances are never in office at the
 * same instant.
 *
 * <p>Single-threaded; owned by the keeper duty. Created when the process starts, with nothing
 * remembered from an earlier run: it then takes no office and grants nothing for one lease. Time is
 * the process's own monotonic clock, which must go on while the process is suspended.
 *
 * @since 0.1
 */
public final class KeeperLease {

  private final FailureDomainId domain;
  private final InstanceId self;
  private final KeeperSettings settings;
  private final KeeperRules rules;

  private long recoveryUntil;
  private long promiseUntil = Long.MIN_VALUE;
  private Term highest = Term.NONE;
  private Term office = Term.NONE;
  private boolean announced;
  private long leaseUntil = Long.MIN_VALUE;
  private SetView sets = SetView.NONE;
  private long acknowledgeAt = Long.MIN_VALUE;
  private final RenewalRound round = new RenewalRound();
  private final QuorumRequest request = new QuorumRequest();
  private long nextAttemptAt = Long.MIN_VALUE;

  // Life-cycle

  /**
   * Creates the state of an instance that starts now.
   *
   * @param domain failure domain of the instance
   * @param self the instance
   * @param settings lengths; equal on all instances
   * @param nowMillis the present
   * @since 0.1
   */
  public KeeperLease(
      FailureDomainId domain, InstanceId self, KeeperSettings settings, long nowMillis) {
    this(domain, self, settings, KeeperRules.ALL, nowMillis);
  }

  KeeperLease(
      FailureDomainId domain,
      InstanceId self,
      KeeperSettings settings,
      KeeperRules rules,
      long nowMillis) {
    this.domain = Objects.requireNonNull(domain);
    this.self = Objects.requireNonNull(self);
    this.settings = Objects.requireNonNull(settings);
    this.rules = rules;
    recoveryUntil = rules.waitAfterRestart() ? nowMillis + settings.promiseMillis() : nowMillis;
  }

  KeeperLease(
      FailureDomainId domain,
      InstanceId self,
      KeeperSettings settings,
      KeeperRules rules,
      KeeperSnapshot snapshot) {
    this(domain, self, settings, rules, 0L);
    recoveryUntil = snapshot.recoveryUntil();
    promiseUntil = snapshot.promiseUntil();
    highest = snapshot.highest();
    office = snapshot.office();
    announced = snapshot.announced();
    leaseUntil = snapshot.leaseUntil();
    sets = snapshot.sets();
    acknowledgeAt = snapshot.acknowledgeAt();
    round.restore(snapshot.round(), snapshot.roundSentAt(), snapshot.grants());
    request.restore(snapshot.request(), snapshot.requestOpen(), snapshot.requestSentAt());
    nextAttemptAt = snapshot.nextAttemptAt();
  }

  // Accessors

  /**
   * Tells whether a task may be started under {@link #term}. To be asked after each wake-up and
   * right before each start is sent, with a time read just then.
   *
   * @since 0.1
   */
  public boolean mayStart(long nowMillis) {
    return isInOffice() && nowMillis < leaseUntil && !isBound(nowMillis);
  }

  /**
   * Returns the term held, or {@link Term#NONE}.
   *
   * @since 0.1
   */
  public Term term() {
    return office;
  }

  /**
   * Returns the highest term seen. Starts under a lower one are stale.
   *
   * @since 0.1
   */
  public Term highestTerm() {
    return highest;
  }

  /**
   * Returns the instance sets known.
   *
   * @since 0.1
   */
  public SetView sets() {
    return sets;
  }

  /**
   * Returns when {@link #tick} is due next, on the own clock.
   *
   * @since 0.1
   */
  public long nextWakeMillis() {
    return isInOffice() ? Math.min(nextAttemptAt, leaseUntil) : nextAttemptAt;
  }

  /**
   * Returns the whole state as a value.
   *
   * @since 0.1
   */
  public KeeperSnapshot snapshot() {
    return new KeeperSnapshot(
        recoveryUntil,
        promiseUntil,
        highest,
        office,
        announced,
        leaseUntil,
        sets,
        acknowledgeAt,
        round.number(),
        round.sentAt(),
        round.grants(),
        request.number(),
        request.isOpen(),
        request.sentAt(),
        nextAttemptAt);
  }

  // Events

  /**
   * Handles the passing of time.
   *
   * @since 0.1
   */
  public List<KeeperAction> tick(long nowMillis) {
    List<KeeperAction> actions = new ArrayList<>();
    refresh(nowMillis, actions);
    if (nowMillis < nextAttemptAt) {
      return actions;
    }
    nextAttemptAt = nowMillis + settings.renewMillis();
    acknowledge(nowMillis, actions);
    if (isInOffice()) {
      renew(nowMillis, actions);
    } else {
      acquire(nowMillis, actions);
    }
    return actions;
  }

  /**
   * Handles a message from another instance.
   *
   * @since 0.1
   */
  public List<KeeperAction> receive(KeeperMessage message, long nowMillis) {
    List<KeeperAction> actions = new ArrayList<>();
    refresh(nowMillis, actions);
    if (message instanceof KeeperMessage.RenewRequest renewal) {
      answer(renewal, nowMillis, actions);
    } else if (message instanceof KeeperMessage.RenewGrant grant) {
      count(grant, nowMillis);
      refresh(nowMillis, actions);
    } else if (message instanceof KeeperMessage.RenewRefusal refusal) {
      highest = later(highest, refusal.highest());
    }
    return actions;
  }

  /**
   * Handles the quorum's answer to {@link KeeperAction.ProposeAcquire}.
   *
   * @param number number of the proposal
   * @since 0.1
   */
  public List<KeeperAction> acquireResult(long number, QuorumResult result, long nowMillis) {
    List<KeeperAction> actions = new ArrayList<>();
    refresh(nowMillis, actions);
    boolean expected = request.close(number);
    learn(result.office(), nowMillis, actions);
    Term term = result.office().term();
    if (expected && result.isGranted() && !isInOffice() && !highest.isAfter(term)) {
      highest = term;
      enter(term, leaseStart(nowMillis) + settings.holderMillis(), nowMillis);
    }
    refresh(nowMillis, actions);
    return actions;
  }

  /**
   * Handles the quorum's answer to {@link KeeperAction.ProposeRenew}.
   *
   * @param number number of the proposal
   * @since 0.1
   */
  public List<KeeperAction> renewResult(long number, QuorumResult result, long nowMillis) {
    List<KeeperAction> actions = new ArrayList<>();
    refresh(nowMillis, actions);
    boolean expected = request.close(number);
    if (expected && result.isGranted() && isInOffice() && result.office().term().equals(office)) {
      extend(leaseStart(nowMillis));
    }
    learn(result.office(), nowMillis, actions);
    return actions;
  }

  /**
   * Handles an office as the replicated log records it. To be called in the order of the log.
   *
   * @since 0.1
   */
  public List<KeeperAction> officeObserved(KeeperOffice observed, long nowMillis) {
    List<KeeperAction> actions = new ArrayList<>();
    refresh(nowMillis, actions);
    learn(observed, nowMillis, actions);
    return actions;
  }

  // Holder

  private void renew(long nowMillis, List<KeeperAction> actions) {
    round.open(nowMillis);
    for (InstanceId peer : sets.required()) {
      if (!peer.equals(self)) {
        actions.add(
            new KeeperAction.Send(
                peer, new KeeperMessage.RenewRequest(domain, self, office, round.number())));
      }
    }
    extendIfComplete(nowMillis);
    if (isHalfSpent(nowMillis)) {
      request.open(nowMillis);
      actions.add(new KeeperAction.ProposeRenew(request.number(), domain, self, office));
    }
  }

  /** Tells whether the peers have not renewed for half a lease, so that the quorum is asked. */
  private boolean isHalfSpent(long nowMillis) {
    return leaseUntil - nowMillis <= settings.holderMillis() / 2;
  }

  private void count(KeeperMessage.RenewGrant grant, long nowMillis) {
    boolean current =
        isInOffice() && grant.term().equals(office) && grant.round() == round.number();
    if (current && sets.required().contains(grant.from())) {
      round.granted(grant.from());
      extendIfComplete(nowMillis);
    }
  }

  private void extendIfComplete(long nowMillis) {
    if (round.isComplete(sets.required(), self)) {
      extend(rules.countFromRequest() ? round.sentAt() : nowMillis);
    }
  }

  private void extend(long fromMillis) {
    leaseUntil = Math.max(leaseUntil, fromMillis + settings.holderMillis());
  }

  private long leaseStart(long nowMillis) {
    return rules.countFromRequest() ? request.sentAt() : nowMillis;
  }

  // Candidate

  private void acquire(long nowMillis, List<KeeperAction> actions) {
    if (!isBound(nowMillis) && sets.isEligible(self)) {
      request.open(nowMillis);
      actions.add(new KeeperAction.ProposeAcquire(request.number(), domain, self, highest));
    }
  }

  private void enter(Term term, long untilMillis, long nowMillis) {
    office = term;
    announced = false;
    leaseUntil = untilMillis;
    round.reset();
    nextAttemptAt = nowMillis;
    // The lease of the new term comes from the quorum and relies on no instance set.
    acknowledgeAt = nowMillis;
  }

  /** Tells whether a promise, known or possibly forgotten, forbids to act as the keeper. */
  private boolean isBound(long nowMillis) {
    boolean promised = rules.keepPromise() && nowMillis < promiseUntil;
    return promised || nowMillis < recoveryUntil;
  }

  // Granter

  private void answer(
      KeeperMessage.RenewRequest renewal, long nowMillis, List<KeeperAction> actions) {
    RefusalReason refusal = refusal(renewal, nowMillis);
    if (refusal == null) {
      promise(renewal.term(), nowMillis, actions);
      actions.add(
          new KeeperAction.Send(
              renewal.from(),
              new KeeperMessage.RenewGrant(domain, self, renewal.term(), renewal.round())));
    } else {
      actions.add(
          new KeeperAction.Send(
              renewal.from(),
              new KeeperMessage.RenewRefusal(
                  domain, self, renewal.term(), renewal.round(), refusal, highest)));
    }
  }

  private RefusalReason refusal(KeeperMessage.RenewRequest renewal, long nowMillis) {
    if (!renewal.domain().equals(domain)) {
      return RefusalReason.OTHER_DOMAIN;
    }
    if (highest.isAfter(renewal.term())) {
      return RefusalReason.STALE_TERM;
    }
    boolean recovering = nowMillis < recoveryUntil && !rules.grantWhileRecovering();
    return recovering ? RefusalReason.RECOVERING : null;
  }

  private void promise(Term term, long nowMillis, List<KeeperAction> actions) {
    highest = later(highest, term);
    if (isInOffice()) {
      leave(actions);
    }
    promiseUntil = Math.max(promiseUntil, nowMillis + settings.promiseMillis());
  }

  // Instance sets

  private void learn(KeeperOffice observed, long nowMillis, List<KeeperAction> actions) {
    highest = later(highest, observed.term());
    if (!observed.sets().isNewerThan(sets)) {
      return;
    }
    final boolean pendingIsNew = observed.sets().latest().version() > sets.latest().version();
    sets = observed.sets();
    round.abandon();
    if (isInOffice() && !sets.latest().contains(self)) {
      leave(actions);
    }
    if (pendingIsNew) {
      // What was granted by the old members alone must have run out before the change may count.
      acknowledgeAt = isInOffice() && rules.acknowledgeSets() ? leaseUntil : nowMillis;
    }
  }

  private void acknowledge(long nowMillis, List<KeeperAction> actions) {
    if (sets.isChanging() && nowMillis >= acknowledgeAt) {
      Term term = mayStart(nowMillis) ? office : Term.NONE;
      actions.add(new KeeperAction.AcknowledgeSet(domain, self, term, sets.pending().version()));
    }
  }

  // Internals

  /** Ends an office that ran out and announces one that takes effect. */
  private void refresh(long nowMillis, List<KeeperAction> actions) {
    if (isInOffice() && nowMillis >= leaseUntil && rules.endLapsedOffice()) {
      leave(actions);
    }
    if (!announced && mayStart(nowMillis)) {
      announced = true;
      actions.add(new KeeperAction.TookOffice(office));
    }
  }

  private void leave(List<KeeperAction> actions) {
    actions.add(new KeeperAction.LostOffice(office));
    office = Term.NONE;
    announced = false;
    round.abandon();
  }

  private boolean isInOffice() {
    return !office.equals(Term.NONE);
  }

  private static Term later(Term one, Term other) {
    return one.isAfter(other) ? one : other;
  }
}
