package org.primrosegauge.core.request.impl;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.primrosegauge.core.ExecutionStatus;
import org.primrosegauge.core.request.AttemptId;
import org.primrosegauge.core.request.AttemptOutcome;
import org.primrosegauge.core.request.DropReason;
import org.primrosegauge.core.request.RefusalReason;
import org.primrosegauge.core.request.RequestAction;
import org.primrosegauge.core.request.RequestDescription;
import org.primrosegauge.core.request.RetryReason;
import org.primrosegauge.core.request.cfg.RouterSettings;

/**
 * Makes attempts: sends waiting requests to executors and peers, and judges how attempts ended.
 *
 * <p>Owned by the router's thread.
 *
 * @since 0.1
 */
public final class Dispatcher {

  private static final double MIN_JITTER = 0.5;

  private final RouterSettings settings;
  private final RandomGenerator random;
  private final Outbox outbox;
  private final Finisher finisher;
  private final WakeQueue wakes;
  private final Map<AttemptId, Attempt> attempts = new HashMap<>();

  /** Creates a dispatcher without attempts. */
  public Dispatcher(
      RouterSettings settings,
      RandomGenerator random,
      Outbox outbox,
      Finisher finisher,
      WakeQueue wakes) {
    this.settings = settings;
    this.random = random;
    this.outbox = outbox;
    this.finisher = finisher;
    this.wakes = wakes;
  }

  /** Tells whether the outcome of any attempt is missing. */
  public boolean hasOpenAttempts() {
    return !attempts.isEmpty();
  }

  /** Sends waiting requests as long as there are slots for them. */
  public void pump(ServicePool pool, long nowMillis) {
    if (!pool.queue().hasReady()) {
      return;
    }
    if (!pool.hasUsableTarget(nowMillis)) {
      pool.queue().ready().forEach(r -> finisher.fail(r, RefusalReason.NO_TARGET, nowMillis));
      return;
    }
    Optional<ActiveRequest> next = pool.queue().next();
    while (next.isPresent() && send(next.get(), nowMillis)) {
      next = pool.queue().next();
    }
  }

  /** Puts a request into the queue. */
  public void enqueue(ActiveRequest request, long nowMillis) {
    request.backingOff(false);
    request.share().ready().add(request);
    wakes.schedule(request, Admission.giveUpMillis(request, nowMillis));
  }

  /** Takes in how an attempt ended. */
  public void ended(AttemptId id, AttemptOutcome outcome, long nowMillis) {
    countBadAnswer(outcome);
    Attempt attempt = attempts.remove(id);
    if (attempt == null) {
      outbox.count(DropReason.LATE_OUTCOME);
      return;
    }
    ActiveRequest request = attempt.request();
    release(attempt, outcome, nowMillis);
    if (request.current() == attempt) {
      request.closeAttempt();
      conclude(request, attempt, outcome, nowMillis);
    } else {
      noteLate(request, outcome);
    }
    pump(request.pool(), nowMillis);
  }

  private void countBadAnswer(AttemptOutcome outcome) {
    if (outcome == AttemptOutcome.MISMATCHED) {
      outbox.count(DropReason.MISMATCHED_ANSWER);
    } else if (outcome == AttemptOutcome.UNUSABLE_ANSWER) {
      outbox.count(DropReason.UNUSABLE_ANSWER);
    }
  }

  /** No caller waits, but the record of keys can be made more precise. */
  private void noteLate(ActiveRequest request, AttemptOutcome outcome) {
    outbox.count(DropReason.LATE_OUTCOME);
    if (outcome == AttemptOutcome.ANSWERED) {
      finisher.settle(request, ExecutionStatus.RAN);
    } else if (!outcome.mayHaveBegun() && !request.mayHaveBegun()) {
      finisher.settle(request, ExecutionStatus.NOT_RUN);
    }
  }

  private boolean send(ActiveRequest request, long nowMillis) {
    RequestDescription description = request.description();
    ServicePool pool = request.pool();
    Optional<TargetState> target = pool.pick(description.repeatable(), request.tried(), nowMillis);
    if (target.isPresent()) {
      target.get().take();
      open(request, request.open(target.get(), null, nowMillis));
      return true;
    }
    if (description.forwarded()) {
      finisher.fail(request, RefusalReason.NO_SLOT_FOR_PEER, nowMillis);
      return true;
    }
    return forward(request, nowMillis);
  }

  private boolean forward(ActiveRequest request, long nowMillis) {
    if (request.declinedForwards() >= settings.maxAttempts()) {
      return giveUpForwarding(request, nowMillis);
    }
    Optional<PeerState> peer = request.pool().pickPeer();
    if (peer.isEmpty()) {
      return false;
    }
    peer.get().takeSlot();
    open(request, request.open(null, peer.get(), nowMillis));
    return true;
  }

  /** The request waits for a slot of this instance, if there can be one. */
  private boolean giveUpForwarding(ActiveRequest request, long nowMillis) {
    if (request.pool().hasHealthy(nowMillis)) {
      return false;
    }
    finisher.fail(request, RefusalReason.TARGET_UNREACHABLE, nowMillis);
    return true;
  }

  private void open(ActiveRequest request, Attempt attempt) {
    RequestDescription description = request.description();
    request.share().ready().remove(request);
    request.pool().queue().noteSent(request.share());
    // A forwarded request earns its retry where it came in.
    if (attempt.number() == 1 && !description.forwarded()) {
      request.pool().budget().noteFirstTry();
    }
    attempts.put(attempt.id(), attempt);
    long deadline = description.deadlineMillis();
    wakes.schedule(request, deadline);
    outbox.add(actionFor(attempt, deadline));
  }

  private static RequestAction actionFor(Attempt attempt, long deadlineMillis) {
    TargetState target = attempt.target();
    if (target == null) {
      return new RequestAction.Forward(attempt.id(), attempt.peer().id(), deadlineMillis);
    }
    String address = target.announcement().address();
    return new RequestAction.Dispatch(attempt.id(), target.id(), address, deadlineMillis);
  }

  private void release(Attempt attempt, AttemptOutcome outcome, long nowMillis) {
    ActiveRequest request = attempt.request();
    request.share().noteEnded();
    if (attempt.target() != null) {
      attempt.target().release(outcome, jitter(), nowMillis);
      if (outcome == AttemptOutcome.ANSWERED) {
        request.pool().times().note(nowMillis - attempt.sentMillis());
      }
    }
  }

  private void conclude(
      ActiveRequest request, Attempt attempt, AttemptOutcome outcome, long nowMillis) {
    if (outcome == AttemptOutcome.ANSWERED) {
      finisher.deliver(request, attempt.id());
      return;
    }
    if (outcome.mayHaveBegun()) {
      request.markBegun();
    }
    if (attempt.peer() != null && !outcome.mayHaveBegun()) {
      attempt.peer().markFull();
      request.forgetDeclinedForward();
      enqueue(request, nowMillis);
    } else if (mayRetry(request, outcome, nowMillis)) {
      outbox.count(RetryReason.of(outcome));
      request.backingOff(true);
      wakes.schedule(request, nowMillis + backoffMillis(request));
    } else {
      finisher.fail(request, reasonAfter(request, outcome), nowMillis);
    }
  }

  private boolean mayRetry(ActiveRequest request, AttemptOutcome outcome, long nowMillis) {
    boolean safe = request.description().repeatable() || !outcome.mayHaveBegun();
    if (!safe || !isRetrySensible(request, nowMillis)) {
      return false;
    }
    boolean paid = request.pool().budget().tryRetry(nowMillis);
    if (!paid) {
      outbox.count(DropReason.RETRY_BUDGET_SPENT);
    }
    return paid;
  }

  private boolean isRetrySensible(ActiveRequest request, long nowMillis) {
    RequestDescription description = request.description();
    long restart = nowMillis + settings.backoffMillis() + request.pool().times().leastMillis();
    return !description.forwarded()
        && request.tries() < settings.maxAttempts()
        && restart < description.deadlineMillis()
        && request.pool().hasUsableTarget(nowMillis);
  }

  private static RefusalReason reasonAfter(ActiveRequest request, AttemptOutcome outcome) {
    if (!request.mayHaveBegun()) {
      return RefusalReason.TARGET_UNREACHABLE;
    }
    return switch (outcome) {
      case ANSWERED_ERROR -> RefusalReason.TARGET_FAILED;
      case TIMED_OUT -> RefusalReason.DEADLINE_IN_FLIGHT;
      default -> RefusalReason.OUTCOME_UNKNOWN;
    };
  }

  private long backoffMillis(ActiveRequest request) {
    long mean = settings.backoffMillis() << (request.tries() - 1);
    return Math.max(1, (long) (mean * jitter()));
  }

  private double jitter() {
    return MIN_JITTER + random.nextDouble();
  }
}
