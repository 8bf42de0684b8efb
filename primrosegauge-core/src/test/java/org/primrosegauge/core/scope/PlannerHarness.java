package org.primrosegauge.core.scope;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.primrosegauge.core.CustomerId;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.HostPort;
import org.primrosegauge.core.JobId;
import org.primrosegauge.core.Revision;
import org.primrosegauge.core.ServiceId;
import org.primrosegauge.core.TargetId;
import org.primrosegauge.core.Term;
import org.primrosegauge.core.job.Resources;
import org.primrosegauge.core.scope.cfg.ScopeSettings;

/**
 * A ledger and a scheduler whose proposals are committed at once and whose orders to start are
 * carried out at once, so that each pass of the planner can be looked at by itself.
 *
 * <p>Not thread-safe.
 */
final class PlannerHarness {

  static final ServiceId POOL = new ServiceId("pool");
  static final Resources CAPACITY = new Resources(64_000, 256 * 1024, 8);

  private final ScopeLedger ledger = new ScopeLedger(1_000_000);
  private final ScopeScheduler scheduler =
      new ScopeScheduler(ledger, ScopeSettings.DEFAULT.withSilenceTimeoutMillis(1_000_000));
  private final Map<RunId, WorkerKey> running = new LinkedHashMap<>();
  private final Map<RunId, WorkerKey> stopping = new LinkedHashMap<>();
  private final List<Placement> placed = new ArrayList<>();
  private final Deque<ScopeAction> pendingActions = new ArrayDeque<>();
  private long nowMillis = 10_000;
  private long maxExamined;
  private long passes;
  private long examined;

  /** Creates a scope with idle workers, ten customers and a queue for each priority. */
  PlannerHarness(int workers, int perRack) {
    ledger.apply(new ScopeCommand.Configure(configuration(workers), "text"));
    for (int i = 0; i < workers; i++) {
      ledger.apply(new ScopeCommand.SeeWorker(worker(i, perRack)));
    }
    perform(scheduler.startLeading(new Term(1), now()));
    for (int i = 0; i < workers; i++) {
      WorkerHeartbeat status = new WorkerHeartbeat(worker(i, perRack), 1, false, 0, nowMillis);
      perform(scheduler.handleHeartbeat(status, now()));
    }
  }

  private static ScopeConfiguration configuration(int workers) {
    List<QueueSpec> queues = new ArrayList<>();
    for (int priority = 0; priority < 3; priority++) {
      QueueName name = new QueueName("q" + priority);
      queues.add(new QueueSpec(name, "host", "/" + name + "/", POOL, priority, 3, 3, 3_000, true));
    }
    List<CustomerSpec> customers = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      customers.add(new CustomerSpec(new CustomerId("c" + i), List.of("k" + i), workers / 4));
    }
    return new ScopeConfiguration(new Revision(1), queues, customers, 1_000);
  }

  private static WorkerInfo worker(int number, int perRack) {
    return new WorkerInfo(
        new WorkerKey(new TargetId("w" + number), 1),
        new HostPort("10.0." + number / 250 + "." + (1 + number % 250), 80),
        POOL,
        new FailureDomainId("d" + number % 4),
        CAPACITY,
        List.of("a"),
        rackOf(number, perRack));
  }

  static String rackOf(int number, int perRack) {
    return "r" + number / perRack;
  }

  // Events

  void submit(String id, int priority, int customer, StepSpec... steps) {
    ScopeJob job =
        new ScopeJob(
            new JobId(id),
            new QueueName("q" + priority),
            POOL,
            new CustomerId("c" + customer),
            3,
            nowMillis,
            "",
            List.of(steps),
            Recurrence.NONE);
    commit(new ScopeCommand.Submit(job));
  }

  /** Ends the run that has gone on longest. */
  void endOldestRun() {
    RunId run = running.keySet().iterator().next();
    end(run, running.remove(run), RunOutcome.DONE);
  }

  /** Ends all runs that were told to stop. */
  void endStoppedRuns() {
    Map<RunId, WorkerKey> told = new LinkedHashMap<>(stopping);
    stopping.clear();
    told.forEach((run, worker) -> end(run, worker, RunOutcome.STOPPED));
  }

  private void end(RunId run, WorkerKey worker, RunOutcome outcome) {
    commit(
        new ScopeCommand.RecordEnds(worker, 0, List.of(new RunEnd(run, outcome, "")), nowMillis));
  }

  /** Lets time pass and plans, as often as the planner has to go on. */
  void runPass(long millis) {
    nowMillis += millis;
    perform(scheduler.tick(now()));
    long before = scheduler.examined();
    final List<ScopeAction> actions = scheduler.plan(now());
    long cost = scheduler.examined() - before;
    passes++;
    examined += cost;
    maxExamined = Math.max(maxExamined, cost);
    perform(actions);
  }

  private void commit(ScopeCommand command) {
    ledger.apply(command);
    perform(scheduler.applied(command, now()));
  }

  private void perform(List<ScopeAction> actions) {
    pendingActions.addAll(actions);
    while (!pendingActions.isEmpty()) {
      ScopeAction action = pendingActions.poll();
      if (action instanceof ScopeAction.Propose propose) {
        recordPlacements(propose.command());
        ledger.apply(propose.command());
        pendingActions.addAll(scheduler.applied(propose.command(), now()));
      } else if (action instanceof ScopeAction.Start start) {
        running.put(start.run(), start.worker());
        pendingActions.addAll(
            scheduler.handleStartResult(start, StartResult.STARTED, nowMillis, now()));
      } else if (action instanceof ScopeAction.Stop stop) {
        running.remove(stop.run());
        stopping.put(stop.run(), stop.worker());
        pendingActions.addAll(scheduler.handleStopResult(stop, StopResult.STOPPING, now()));
      }
    }
  }

  private void recordPlacements(ScopeCommand command) {
    if (command instanceof ScopeCommand.Place place) {
      placed.addAll(place.placements());
    }
  }

  private ClockReading now() {
    return new ClockReading(nowMillis, nowMillis);
  }

  // Accessors

  long nowMillis() {
    return nowMillis;
  }

  /** Returns all placements so far, in their order. */
  List<Placement> placed() {
    return placed;
  }

  boolean hasStarted(String id) {
    return ledger.job(new JobId(id)).orElseThrow().status() != JobStatus.QUEUED;
  }

  int runningCount() {
    return running.size();
  }

  /** Forgets the figures of the passes so far. */
  void resetStatistics() {
    maxExamined = 0;
    passes = 0;
    examined = 0;
  }

  /** Returns the most that one pass looked at. */
  long maxExamined() {
    return maxExamined;
  }

  /** Returns what a pass looked at on average. */
  double meanExamined() {
    return (double) examined / passes;
  }
}
