package org.primrosegauge.core.request.impl;

import java.util.HashMap;
import java.util.Map;
import org.primrosegauge.core.ExecutionStatus;
import org.primrosegauge.core.RequestId;
import org.primrosegauge.core.request.AttemptId;
import org.primrosegauge.core.request.RefusalReason;
import org.primrosegauge.core.request.RequestAction;
import org.primrosegauge.core.request.RequestDescription;
import org.primrosegauge.core.request.cfg.RouterSettings;

/**
 * Gives requests their final answers and forgets them.
 *
 * <p>Owned by the router's thread.
 *
 * @since 0.1
 */
public final class Finisher {

  private final RouterSettings settings;
  private final Outbox outbox;
  private final WakeQueue wakes;
  private final Map<RequestId, ActiveRequest> requests = new HashMap<>();

  /** Creates a finisher that knows no request. */
  public Finisher(RouterSettings settings, Outbox outbox, WakeQueue wakes) {
    this.settings = settings;
    this.outbox = outbox;
    this.wakes = wakes;
  }

  /** Returns the requests without a final answer. */
  public Map<RequestId, ActiveRequest> requests() {
    return requests;
  }

  /** Gives the caller the answer of an attempt. */
  public void deliver(ActiveRequest request, AttemptId attempt) {
    forget(request);
    settle(request, ExecutionStatus.RAN);
    outbox.add(new RequestAction.Deliver(attempt));
  }

  /** Drops a request whose caller went away. */
  public void drop(ActiveRequest request) {
    ExecutionStatus execution = executionOf(request);
    forget(request);
    settle(request, execution);
  }

  /** Gives the caller an error that says what is known of the work. */
  public void fail(ActiveRequest request, RefusalReason reason, long nowMillis) {
    ExecutionStatus execution = executionOf(request);
    boolean helps = execution == ExecutionStatus.NOT_RUN || request.description().repeatable();
    finish(request, reason, execution, helps ? comeBackMillis(request, nowMillis) : 0);
  }

  /** Gives the caller an error. */
  public void finish(
      ActiveRequest request,
      RefusalReason reason,
      ExecutionStatus execution,
      long retryAfterMillis) {
    forget(request);
    settle(request, execution);
    refuse(request.description(), reason, execution, retryAfterMillis);
  }

  /** Gives the caller of a request that was not admitted an error. */
  public void refuse(RequestDescription description, RefusalReason reason, long retryAfterMillis) {
    refuse(description, reason, ExecutionStatus.NOT_RUN, retryAfterMillis);
  }

  private void refuse(
      RequestDescription description,
      RefusalReason reason,
      ExecutionStatus execution,
      long retryAfterMillis) {
    outbox.add(new RequestAction.Count(reason));
    outbox.add(new RequestAction.Fail(description.id(), reason, execution, retryAfterMillis));
  }

  /** Returns when a refused caller should come back, in milliseconds from now. */
  public long comeBackMillis(ActiveRequest request, long nowMillis) {
    ServicePool pool = request.pool();
    long wait = pool.estimatedWaitMillis(request.share(), nowMillis);
    long probe = pool.hasUsableTarget(nowMillis) ? 0 : pool.millisToProbe(nowMillis);
    return Math.max(settings.retryAfterMillis(), Math.max(wait, probe));
  }

  /** Tells the claim store what became of a request that holds its key. */
  public void settle(ActiveRequest request, ExecutionStatus execution) {
    if (request.claimed()) {
      RequestDescription description = request.description();
      outbox.add(
          new RequestAction.Settle(description.id(), description.claim().orElseThrow(), execution));
    }
  }

  /** An attempt that is still open stays known until its outcome is reported. */
  private void forget(ActiveRequest request) {
    request.moveTo(RequestState.ANSWERED);
    request.closeAttempt();
    request.share().ready().remove(request);
    request.share().claiming().remove(request);
    wakes.cancel(request);
    requests.remove(request.description().id());
  }

  private static ExecutionStatus executionOf(ActiveRequest request) {
    boolean open = request.current() != null;
    return open || request.mayHaveBegun() ? ExecutionStatus.UNKNOWN : ExecutionStatus.NOT_RUN;
  }
}
