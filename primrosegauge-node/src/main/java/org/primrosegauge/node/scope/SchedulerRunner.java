package org.primrosegauge.node.scope;

import java.util.List;
import java.util.function.Supplier;
import org.primrosegauge.core.HostPort;
import org.primrosegauge.core.scope.ClockReading;
import org.primrosegauge.core.scope.PollResult;
import org.primrosegauge.core.scope.ScopeAction;
import org.primrosegauge.core.scope.ScopeCommand;
import org.primrosegauge.core.scope.ScopeScheduler;
import org.primrosegauge.core.scope.StartResult;
import org.primrosegauge.core.scope.StopResult;
import org.primrosegauge.node.duty.DutyLoad;
import org.primrosegauge.node.duty.MonotonicClock;
import org.primrosegauge.node.log.PolymorphicCodec;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.publisher.Mono;

/**
 * Dispatches events to the scheduler with the current time, and executes the actions it returns.
 * Planning runs once per batch of events, as often as {@link PlanningThrottle} allows.
 *
 * <p>Requests to workers are sent only if this replica holds a valid leader lease, both at the time
 * that the decision was based on and when the request is sent: the process may have been suspended
 * in between. Used on the log thread; responses of workers are dispatched to that thread.
 */
final class SchedulerRunner {

  private static final Logger LOG = LoggerFactory.getLogger(SchedulerRunner.class);

  /** Kind of an event; the names appear in log lines and metrics. */
  enum EventKind {
    /** This replica starts leading. */
    OFFICE,
    /** The log has applied a command. */
    APPLIED,
    /** A proposal of the scheduler has failed. */
    NOT_APPLIED,
    /** A worker has sent a heartbeat, or the message that it terminates. */
    HEARTBEAT,
    /** A worker has responded to a request, or has failed to. */
    ANSWER,
    /** Periodic tick. */
    TICK,
    /** Planning pass, which assigns workers to pending steps after a batch of events. */
    PLAN,
    /** Polling of workers while planning is paused. */
    LOOK
  }

  /** An event, as a call of the scheduler. */
  @FunctionalInterface
  interface Event {

    /** Dispatches the event and returns the actions to execute. */
    List<ScopeAction> dispatchTo(ScopeScheduler scheduler, ClockReading now);
  }

  private final ScopeScheduler scheduler;
  private final Leadership log;
  private final PolymorphicCodec codec;
  private final MonotonicClock clock;
  private final MonotonicClock wallClock;
  private final WorkerClient workers;
  private final ScopeEventLog events;
  private final ScopeMetrics metrics;
  private final SchedulerLoad load;
  private final PlanningThrottle throttle = new PlanningThrottle();
  private final OrderQueues orders = new OrderQueues();

  SchedulerRunner(
      ScopeScheduler scheduler,
      Leadership log,
      PolymorphicCodec codec,
      ScopeReplica.Dependencies dependencies) {
    this.scheduler = scheduler;
    this.log = log;
    this.codec = codec;
    this.clock = dependencies.clock();
    this.wallClock = dependencies.wallClock();
    this.workers = dependencies.workers();
    this.events = dependencies.events();
    this.metrics = dependencies.metrics();
    this.load = new SchedulerLoad(dependencies.metrics());
  }

  /** Returns whether the scheduler is leading, that is, makes decisions. */
  boolean isLeading() {
    return scheduler.isLeading();
  }

  /** Makes the scheduler lead once this replica leads and has applied all committed entries. */
  void startLeadingIfDue() {
    boolean isDue = !scheduler.isLeading() && log.isAuthoritative(clock.nowMillis());
    if (isDue) {
      events.schedulerRoleChanged(true, log.term());
      run(EventKind.OFFICE, (scheduler, now) -> scheduler.startLeading(log.term(), now));
    }
  }

  /** Makes the scheduler stop leading if this replica no longer leads. */
  void stopLeadingIfDue() {
    if (scheduler.isLeading() && !log.isLeader()) {
      scheduler.stopLeading();
      throttle.clear();
      orders.clearWaiting();
      events.schedulerRoleChanged(false, log.term());
    }
  }

  /** Dispatches an event and executes the resulting actions; planning follows separately. */
  void run(EventKind kind, Event event) {
    dispatch(kind, event);
    if (scheduler.isLeading()) {
      throttle.eventHandled();
    }
  }

  /** Plans for the events since the last pass, or only polls workers while planning is paused. */
  void planOrPoll(long nowMillis) {
    if (throttle.tryBeginPass(nowMillis)) {
      long nanos = dispatch(EventKind.PLAN, ScopeScheduler::plan);
      throttle.passEnded(clock.nowMillis(), nanos);
    } else {
      dispatch(EventKind.LOOK, ScopeScheduler::pollWorkers);
    }
  }

  /** Returns when {@link #planOrPoll} is due, in milliseconds of the monotonic clock. */
  long planDueMillis() {
    return throttle.dueMillis();
  }

  /** Dispatches an event; returns how long the scheduler took, in nanoseconds. */
  private long dispatch(EventKind kind, Event event) {
    ClockReading now = now();
    final long examinedBefore = scheduler.examined();
    final long startNanos = System.nanoTime();
    List<ScopeAction> actions = event.dispatchTo(scheduler, now);
    final long nanos = System.nanoTime() - startNanos;
    load.recordDecision(kind, nanos, scheduler.examined() - examinedBefore);
    perform(actions, now);
    return nanos;
  }

  /** Reports the cost of scheduling decisions once per second while the scheduler is leading. */
  void reportLoad(long nowMillis, Supplier<DutyLoad.Figures> threadLoad) {
    load.reportIfDue(nowMillis, scheduler.isLeading(), threadLoad);
  }

  private ClockReading now() {
    return new ClockReading(clock.nowMillis(), wallClock.nowMillis());
  }

  private void perform(List<ScopeAction> actions, ClockReading now) {
    for (ScopeAction action : actions) {
      if (action instanceof ScopeAction.Propose propose) {
        propose(propose.command());
      } else if (action instanceof ScopeAction.Report report) {
        events.schedulerEvent(report.event());
      } else if (action instanceof ScopeAction.Start request) {
        start(request, now);
      } else if (action instanceof ScopeAction.Stop request) {
        stop(request, now);
      } else if (action instanceof ScopeAction.Poll request) {
        poll(request, maySend(now));
      } else if (action instanceof ScopeAction.Probe request) {
        probe(request, maySend(now));
      }
    }
  }

  private boolean maySend(ClockReading decisionTime) {
    return log.holdsLease(decisionTime.monotonicMillis()) && log.holdsLease(clock.nowMillis());
  }

  private void propose(ScopeCommand command) {
    log.propose(codec.write(command))
        .subscribe(
            result -> {},
            error ->
                enqueue(
                    EventKind.NOT_APPLIED,
                    (scheduler, now) -> scheduler.proposalFailed(command, now)));
  }

  private void start(ScopeAction.Start request, ClockReading decisionTime) {
    WorkerClient.StartReply notSent = new WorkerClient.StartReply(StartResult.NOT_SENT, 0);
    OrderQueues.Order order =
        new OrderQueues.Order(
            () -> {
              Mono<WorkerClient.StartReply> reply =
                  maySend(decisionTime) ? workers.start(request) : Mono.just(notSent);
              final long sentMillis = clock.nowMillis();
              reply.subscribe(
                  response -> {
                    recordCall("start", response.result(), sentMillis);
                    handleStartReply(request, response, true);
                  });
            },
            () -> handleStartReply(request, notSent, false));
    orders.submit(request.address(), order, clock.nowMillis());
  }

  private void handleStartReply(
      ScopeAction.Start request, WorkerClient.StartReply reply, boolean wasOpen) {
    enqueue(
        EventKind.ANSWER,
        (scheduler, now) -> {
          completeIfOpen(request.address(), wasOpen);
          return scheduler.handleStartResult(request, reply.result(), reply.clockMillis(), now);
        });
  }

  private void stop(ScopeAction.Stop request, ClockReading decisionTime) {
    OrderQueues.Order order =
        new OrderQueues.Order(
            () -> {
              Mono<StopResult> reply =
                  maySend(decisionTime) ? workers.stop(request) : Mono.just(StopResult.NO_ANSWER);
              final long sentMillis = clock.nowMillis();
              reply.subscribe(
                  response -> {
                    recordCall("stop", response, sentMillis);
                    handleStopReply(request, response, true);
                  });
            },
            () -> handleStopReply(request, StopResult.NO_ANSWER, false));
    orders.submit(request.address(), order, clock.nowMillis());
  }

  private void handleStopReply(ScopeAction.Stop request, StopResult result, boolean wasOpen) {
    enqueue(
        EventKind.ANSWER,
        (scheduler, now) -> {
          completeIfOpen(request.address(), wasOpen);
          return scheduler.handleStopResult(request, result, now);
        });
  }

  private void completeIfOpen(HostPort worker, boolean wasOpen) {
    if (wasOpen) {
      orders.completed(worker, clock.nowMillis());
    }
  }

  private void recordCall(String call, Enum<?> result, long sentMillis) {
    metrics.recordWorkerCall(call, result, clock.nowMillis() - sentMillis);
  }

  private void poll(ScopeAction.Poll request, boolean maySend) {
    sendPoll(
        "look",
        request,
        maySend,
        (scheduler, response, now) -> scheduler.handlePollResult(request, response, now));
  }

  private void probe(ScopeAction.Probe request, boolean maySend) {
    sendPoll(
        "probe",
        request.toPoll(),
        maySend,
        (scheduler, response, now) -> scheduler.handleProbeResult(request, response, now));
  }

  /** Handler of the result of a poll. */
  @FunctionalInterface
  private interface PollHandler {

    List<ScopeAction> handle(ScopeScheduler scheduler, PollResult response, ClockReading now);
  }

  private void sendPoll(
      String call, ScopeAction.Poll request, boolean maySend, PollHandler handler) {
    Mono<PollResult> reply =
        maySend
            ? workers.poll(request)
            : Mono.just(PollResult.withoutReport(PollResult.Kind.NO_ANSWER));
    final long sentMillis = clock.nowMillis();
    reply.subscribe(
        response -> {
          recordCall(call, response.kind(), sentMillis);
          enqueue(EventKind.ANSWER, (scheduler, now) -> handler.handle(scheduler, response, now));
        });
  }

  /**
   * Enqueues an event on the log thread, since responses arrive on an event loop or while another
   * event is being handled.
   */
  private void enqueue(EventKind kind, Event event) {
    boolean isAccepted = log.execute(() -> run(kind, event));
    if (!isAccepted) {
      LOG.info("answer arrived after the end of the log thread, dropping it");
    }
  }
}
