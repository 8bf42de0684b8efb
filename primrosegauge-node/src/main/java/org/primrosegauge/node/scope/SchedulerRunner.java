package org.primrosegauge.node.scope;

import java.util.List;
import java.util.function.Supplier;
import org.primrosegauge.core.scope.LookAnswer;
import org.primrosegauge.core.scope.Present;
import org.primrosegauge.core.scope.ScopeAction;
import org.primrosegauge.core.scope.ScopeCommand;
import org.primrosegauge.core.scope.ScopeScheduler;
import org.primrosegauge.core.scope.StartAnswer;
import org.primrosegauge.core.scope.StopAnswer;
import org.primrosegauge.node.duty.DutyLoad;
import org.primrosegauge.node.duty.MonotonicClock;
import org.primrosegauge.node.log.PolymorphicCodec;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.publisher.Mono;

/**
 * Hands events to the scheduler with the present, and carries out what it decides. Planning follows
 * once for a batch of events, as often as {@link PlanningPace} allows.
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
    List<ScopeAction> handTo(ScopeScheduler scheduler, Present present);
  }

  private final ScopeScheduler scheduler;
  private final Leadership log;
  private final PolymorphicCodec codec;
  private final MonotonicClock clock;
  private final MonotonicClock wallClock;
  private final WorkerOrders workers;
  private final ScopeEventLog events;
  private final ScopeMeters meters;
  private final SchedulerLoad load;
  private final PlanningPace pace = new PlanningPace();

  SchedulerRunner(
      ScopeScheduler scheduler, Leadership log, PolymorphicCodec codec, ScopeDuty.Ports ports) {
    this.scheduler = scheduler;
    this.log = log;
    this.codec = codec;
    this.clock = ports.clock();
    this.wallClock = ports.wallClock();
    this.workers = ports.workers();
    this.events = ports.events();
    this.meters = ports.meters();
    this.load = new SchedulerLoad(ports.meters());
  }

  // Office

  /** Tells whether the scheduler decides. */
  boolean isInOffice() {
    return scheduler.isInOffice();
  }

  /** Lets the scheduler decide once this replica leads and holds all that is committed. */
  void takeOfficeIfDue() {
    boolean isDue = !scheduler.isInOffice() && log.isAuthoritative(clock.nowMillis());
    if (isDue) {
      events.office(true, log.term());
      run(EventKind.OFFICE, (leader, present) -> leader.takeOffice(log.term(), present));
    }
  }

  /** Ends the scheduler's decisions when this replica leads no longer. */
  void leaveOfficeIfDue() {
    if (scheduler.isInOffice() && !log.isLeader()) {
      scheduler.leaveOffice();
      pace.clear();
      events.office(false, log.term());
    }
  }

  // Events

  /** Hands an event in and carries out what follows; planning comes later. */
  void run(EventKind kind, Event event) {
    decide(kind, event);
    if (scheduler.isInOffice()) {
      pace.changed();
    }
  }

  /** Plans for the events since the last pass, or only looks at workers while planning pauses. */
  void settle(long nowMillis) {
    if (pace.mayPlan(nowMillis)) {
      long nanos = decide(EventKind.PLAN, ScopeScheduler::plan);
      pace.planned(clock.nowMillis(), nanos);
    } else {
      decide(EventKind.LOOK, ScopeScheduler::look);
    }
  }

  /** Returns when {@link #settle} is due, in the clock's milliseconds. */
  long settleDueMillis() {
    return pace.dueMillis();
  }

  /** Returns how long the decision took, in nanoseconds. */
  private long decide(EventKind kind, Event event) {
    Present present = present();
    final long examinedBefore = scheduler.examined();
    final long beganNanos = System.nanoTime();
    List<ScopeAction> actions = event.handTo(scheduler, present);
    final long nanos = System.nanoTime() - beganNanos;
    load.decided(kind, nanos, scheduler.examined() - examinedBefore);
    perform(actions, present);
    return nanos;
  }

  /** Writes once a second what deciding has cost, while this replica decides. */
  void reportLoad(long nowMillis, Supplier<DutyLoad.Figures> threadLoad) {
    load.reportIfDue(nowMillis, scheduler.isInOffice(), threadLoad);
  }

  private Present present() {
    return new Present(clock.nowMillis(), wallClock.nowMillis());
  }

  private void perform(List<ScopeAction> actions, Present present) {
    for (ScopeAction action : actions) {
      if (action instanceof ScopeAction.Propose propose) {
        proposeForScheduler(propose.command());
      } else if (action instanceof ScopeAction.Report report) {
        events.decided(report.event());
      } else if (action instanceof ScopeAction.Start order) {
        start(order, mayOrder(present));
      } else if (action instanceof ScopeAction.Stop order) {
        stop(order, mayOrder(present));
      } else if (action instanceof ScopeAction.Look order) {
        look(order, mayOrder(present));
      }
    }
  }

  private boolean mayOrder(Present decided) {
    return log.holdsLease(decided.millis()) && log.holdsLease(clock.nowMillis());
  }

  private void proposeForScheduler(ScopeCommand command) {
    log.propose(codec.write(command))
        .subscribe(
            result -> {},
            error ->
                later(
                    EventKind.NOT_APPLIED,
                    (leader, present) -> leader.proposalFailed(command, present)));
  }

  private void start(ScopeAction.Start order, boolean mayOrder) {
    Mono<WorkerOrders.StartReply> reply =
        mayOrder
            ? workers.start(order)
            : Mono.just(new WorkerOrders.StartReply(StartAnswer.NO_ANSWER, 0));
    final long sent = clock.nowMillis();
    reply.subscribe(
        answered -> {
          meters.workerAnswered("start", answered.answer(), clock.nowMillis() - sent);
          later(
              EventKind.ANSWER,
              (leader, present) ->
                  leader.startAnswered(order, answered.answer(), answered.clockMillis(), present));
        });
  }

  private void stop(ScopeAction.Stop order, boolean mayOrder) {
    Mono<StopAnswer> reply = mayOrder ? workers.stop(order) : Mono.just(StopAnswer.NO_ANSWER);
    final long sent = clock.nowMillis();
    reply.subscribe(
        answered -> {
          meters.workerAnswered("stop", answered, clock.nowMillis() - sent);
          later(
              EventKind.ANSWER, (leader, present) -> leader.stopAnswered(order, answered, present));
        });
  }

  private void look(ScopeAction.Look order, boolean mayOrder) {
    Mono<LookAnswer> reply =
        mayOrder ? workers.look(order) : Mono.just(LookAnswer.without(LookAnswer.Kind.NO_ANSWER));
    final long sent = clock.nowMillis();
    reply.subscribe(
        answered -> {
          meters.workerAnswered("look", answered.kind(), clock.nowMillis() - sent);
          later(
              EventKind.ANSWER, (leader, present) -> leader.lookAnswered(order, answered, present));
        });
  }

  /** Hands over an answer, which comes from an event loop or while another event is handled. */
  private void later(EventKind kind, Event event) {
    boolean taken = log.hand(() -> run(kind, event));
    if (!taken) {
      LOG.info("an answer came after the end of the log's thread");
    }
  }
}
