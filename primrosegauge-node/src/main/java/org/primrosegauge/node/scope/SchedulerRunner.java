package org.primrosegauge.node.scope;

import java.util.List;
import java.util.function.Supplier;
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
 * Hands events to the scheduler with the present, and carries out what it decides. Planning follows
 * once for a batch of events, as often as {@link PlanningThrottle} allows.
 *
 * <p>Orders leave only if this replica leads under a valid lease, both at the present that the
 * decision was made with and when they leave: the process may have stood still in between. Used on
 * the log thread; answers of workers are handed to it.
 */
final class SchedulerRunner {

  private static final Logger LOG = LoggerFactory.getLogger(SchedulerRunner.class);

  /** What an event is about. */
  enum EventKind {
    /** This replica begins to lead. */
    OFFICE,
    /** The log has applied a command. */
    APPLIED,
    /** The log has refused a command. */
    NOT_APPLIED,
    /** A worker has sent a heartbeat or its last word. */
    HEARTBEAT,
    /** A worker has answered an order, or has not. */
    ANSWER,
    /** Time has passed. */
    TICK,
    /** Waiting steps are given their workers, once for the events before. */
    PLAN,
    /** Workers are looked at while planning pauses. */
    LOOK
  }

  /** Something that happened, as a call of the scheduler. */
  @FunctionalInterface
  interface Event {

    /** Hands the event in and returns what is to be done. */
    List<ScopeAction> dispatchTo(ScopeScheduler scheduler, ClockReading present);
  }

  private final ScopeScheduler scheduler;
  private final Leadership log;
  private final PolymorphicCodec codec;
  private final MonotonicClock clock;
  private final MonotonicClock wallClock;
  private final WorkerClient workers;
  private final ScopeEventLog events;
  private final ScopeMetrics meters;
  private final SchedulerLoad load;
  private final PlanningThrottle throttle = new PlanningThrottle();

  SchedulerRunner(
      ScopeScheduler scheduler,
      Leadership log,
      PolymorphicCodec codec,
      ScopeReplica.Dependencies ports) {
    this.scheduler = scheduler;
    this.log = log;
    this.codec = codec;
    this.clock = ports.clock();
    this.wallClock = ports.wallClock();
    this.workers = ports.workers();
    this.events = ports.events();
    this.meters = ports.metrics();
    this.load = new SchedulerLoad(ports.metrics());
  }

  // Office

  /** Tells whether the scheduler decides. */
  boolean isLeading() {
    return scheduler.isLeading();
  }

  /** Lets the scheduler decide once this replica leads and holds all that is committed. */
  void startLeadingIfDue() {
    boolean isDue = !scheduler.isLeading() && log.isAuthoritative(clock.nowMillis());
    if (isDue) {
      events.schedulerRoleChanged(true, log.term());
      run(EventKind.OFFICE, (leader, present) -> leader.startLeading(log.term(), present));
    }
  }

  /** Ends the scheduler's decisions when this replica leads no longer. */
  void stopLeadingIfDue() {
    if (scheduler.isLeading() && !log.isLeader()) {
      scheduler.stopLeading();
      throttle.clear();
      events.schedulerRoleChanged(false, log.term());
    }
  }

  // Events

  /** Hands an event in and carries out what follows; planning comes later. */
  void run(EventKind kind, Event event) {
    dispatch(kind, event);
    if (scheduler.isLeading()) {
      throttle.eventHandled();
    }
  }

  /** Plans for the events since the last pass, or only looks at workers while planning pauses. */
  void planOrPoll(long nowMillis) {
    if (throttle.tryBeginPass(nowMillis)) {
      long nanos = dispatch(EventKind.PLAN, ScopeScheduler::plan);
      throttle.passEnded(clock.nowMillis(), nanos);
    } else {
      dispatch(EventKind.LOOK, ScopeScheduler::pollWorkers);
    }
  }

  /** Returns when {@link #planOrPoll} is due, in the clock's milliseconds. */
  long planDueMillis() {
    return throttle.dueMillis();
  }

  /** Returns how long the decision took, in nanoseconds. */
  private long dispatch(EventKind kind, Event event) {
    ClockReading present = now();
    final long examinedBefore = scheduler.examined();
    final long beganNanos = System.nanoTime();
    List<ScopeAction> actions = event.dispatchTo(scheduler, present);
    final long nanos = System.nanoTime() - beganNanos;
    load.recordDecision(kind, nanos, scheduler.examined() - examinedBefore);
    perform(actions, present);
    return nanos;
  }

  /** Writes once a second what deciding has cost, while this replica decides. */
  void reportLoad(long nowMillis, Supplier<DutyLoad.Figures> threadLoad) {
    load.reportIfDue(nowMillis, scheduler.isLeading(), threadLoad);
  }

  private ClockReading now() {
    return new ClockReading(clock.nowMillis(), wallClock.nowMillis());
  }

  private void perform(List<ScopeAction> actions, ClockReading present) {
    for (ScopeAction action : actions) {
      if (action instanceof ScopeAction.Propose propose) {
        propose(propose.command());
      } else if (action instanceof ScopeAction.Report report) {
        events.schedulerEvent(report.event());
      } else if (action instanceof ScopeAction.Start order) {
        start(order, maySend(present));
      } else if (action instanceof ScopeAction.Stop order) {
        stop(order, maySend(present));
      } else if (action instanceof ScopeAction.Poll order) {
        poll(order, maySend(present));
      }
    }
  }

  private boolean maySend(ClockReading decided) {
    return log.hasLease(decided.monotonicMillis()) && log.hasLease(clock.nowMillis());
  }

  private void propose(ScopeCommand command) {
    log.propose(codec.write(command))
        .subscribe(
            result -> {},
            error ->
                enqueue(
                    EventKind.NOT_APPLIED,
                    (leader, present) -> leader.proposalFailed(command, present)));
  }

  private void start(ScopeAction.Start order, boolean mayOrder) {
    Mono<WorkerClient.StartReply> reply =
        mayOrder
            ? workers.start(order)
            : Mono.just(new WorkerClient.StartReply(StartResult.NO_ANSWER, 0));
    final long sent = clock.nowMillis();
    reply.subscribe(
        answered -> {
          meters.recordWorkerCall("start", answered.result(), clock.nowMillis() - sent);
          enqueue(
              EventKind.ANSWER,
              (leader, present) ->
                  leader.handleStartResult(
                      order, answered.result(), answered.clockMillis(), present));
        });
  }

  private void stop(ScopeAction.Stop order, boolean mayOrder) {
    Mono<StopResult> reply = mayOrder ? workers.stop(order) : Mono.just(StopResult.NO_ANSWER);
    final long sent = clock.nowMillis();
    reply.subscribe(
        answered -> {
          meters.recordWorkerCall("stop", answered, clock.nowMillis() - sent);
          enqueue(
              EventKind.ANSWER,
              (leader, present) -> leader.handleStopResult(order, answered, present));
        });
  }

  private void poll(ScopeAction.Poll order, boolean mayOrder) {
    Mono<PollResult> reply =
        mayOrder
            ? workers.poll(order)
            : Mono.just(PollResult.withoutReport(PollResult.Kind.NO_ANSWER));
    final long sent = clock.nowMillis();
    reply.subscribe(
        answered -> {
          meters.recordWorkerCall("look", answered.kind(), clock.nowMillis() - sent);
          enqueue(
              EventKind.ANSWER,
              (leader, present) -> leader.handlePollResult(order, answered, present));
        });
  }

  /** Hands over an answer, which comes from an event loop or while another event is handled. */
  private void enqueue(EventKind kind, Event event) {
    boolean taken = log.execute(() -> run(kind, event));
    if (!taken) {
      LOG.info("an answer came after the end of the log's thread");
    }
  }
}
