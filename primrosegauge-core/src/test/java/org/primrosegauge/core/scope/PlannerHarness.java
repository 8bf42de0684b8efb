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
 * Test harness of a ledger and a scheduler. Proposals are committed, start requests are carried out
 * and probes are answered immediately, so that each planning pass can be examined in isolation.
 *
 * <p>Not thread-safe.
 */
final class PlannerHarness {

  /** Workers that a new leader polls at once, and the interval at which it polls more. */
  private static final int MAX_POLLS = 64;

  private static final long POLL_INTERVAL_MILLIS = 100;

  static final ServiceId POOL = new ServiceId("pool");
  static final Resources CAPACITY = new Resources(64_000, 256 * 1024, 8);

  private final ScopeLedger ledger = new ScopeLedger(1_000_000);
  private final ScopeScheduler scheduler =
      new ScopeScheduler(ledger, ScopeSettings.DEFAULT.withSilenceTimeoutMillis(1_000_000));
  private final Map<RunId, WorkerKey> running = new LinkedHashMap<>();
  private final Map<RunId, WorkerKey> stopping = new LinkedHashMap<>();
  private final List<Placement> placed = new ArrayList<>();
  private final Deque<ScopeAction> pendingActions = new ArrayDeque<>();
  private long term;
  private long nowMillis = 10_000;
  private long maxExamined;
  private long passes;
  private long examined;
  private boolean wasProbed;

  /** Creates a scope with idle workers, ten customers and a queue for each priority. */
  PlannerHarness(int workers, int perRack) {
    ledger.apply(new ScopeCommand.Configure(configuration(workers), "text"));
    for (int i = 0; i < workers; i++) {
      ledger.apply(new ScopeCommand.SeeWorker(worker(i, perRack)));
    }
    startLeading();
  }

  /** Starts the next term, in which each worker has sent a heartbeat and answered a poll. */
  private void startLeading() {
    perform(scheduler.startLeading(new Term(++term), now()));
    for (WorkerRecord worker : List.copyOf(ledger.workers())) {
      WorkerHeartbeat heartbeat = new WorkerHeartbeat(worker.info(), 1, false, 0, nowMillis);
      perform(scheduler.handleHeartbeat(heartbeat, now()));
    }
    for (int i = 0; i < ledger.workers().size() / MAX_POLLS + 1; i++) {
      answerFirstPolls();
      nowMillis += POLL_INTERVAL_MILLIS;
    }
  }

  private void answerFirstPolls() {
    for (ScopeAction action : scheduler.pollWorkers(now())) {
      if (action instanceof ScopeAction.Poll poll) {
        perform(scheduler.handlePollResult(poll, emptyReport(), now()));
      }
    }
  }

  private PollResult emptyReport() {
    return new PollResult(PollResult.Kind.REPORT, nowMillis, List.of(), List.of());
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

  void submit(String id, int priority, int customer, StepSpec... steps) {
    submit(id, priority, customer, Recurrence.NONE, steps);
  }

  void submit(String id, int priority, int customer, Recurrence recurrence, StepSpec... steps) {
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
            recurrence);
    commit(new ScopeCommand.Submit(job));
  }

  /** Returns the state of a job. */
  JobEntry job(String id) {
    return ledger.job(new JobId(id)).orElseThrow();
  }

  /** Replaces the state by that of its own snapshot, for the next leader. */
  void restoreSnapshot() {
    ScopeSnapshot snapshot = ledger.snapshot();
    scheduler.stopLeading();
    ledger.restore(snapshot);
    scheduler.restored();
    startLeading();
  }

  /** Ends all runs that are active. */
  void endAllRuns() {
    while (!running.isEmpty()) {
      endOldestRun();
    }
  }

  /** Ends the run that was started first. */
  void endOldestRun() {
    RunId run = running.keySet().iterator().next();
    end(run, running.remove(run), RunOutcome.DONE);
  }

  /** Ends all runs that were requested to stop. */
  void endStoppedRuns() {
    Map<RunId, WorkerKey> stopped = new LinkedHashMap<>(stopping);
    stopping.clear();
    stopped.forEach((run, worker) -> end(run, worker, RunOutcome.STOPPED));
  }

  private void end(RunId run, WorkerKey worker, RunOutcome outcome) {
    commit(
        new ScopeCommand.RecordEnds(worker, 0, List.of(new RunEnd(run, outcome, "")), nowMillis));
  }

  /**
   * Advances the clock by a time in milliseconds and runs one planning pass, and another one when
   * the workers that it has chosen were probed first.
   */
  void runPass(long millis) {
    nowMillis += millis;
    perform(scheduler.tick(now()));
    runPass();
    if (wasProbed) {
      runPass();
    }
  }

  private void runPass() {
    wasProbed = false;
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
      } else if (action instanceof ScopeAction.Probe probe) {
        wasProbed = true;
        pendingActions.addAll(scheduler.handleProbeResult(probe, emptyReport(), now()));
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

  long nowMillis() {
    return nowMillis;
  }

  /** Returns all placements so far, in the order of their proposal. */
  List<Placement> placed() {
    return placed;
  }

  boolean hasStarted(String id) {
    return ledger.job(new JobId(id)).orElseThrow().status() != JobStatus.QUEUED;
  }

  int runningCount() {
    return running.size();
  }

  /** Resets the statistics of the passes. */
  void resetStatistics() {
    maxExamined = 0;
    passes = 0;
    examined = 0;
  }

  /** Returns the maximum number of objects examined in a pass. */
  long maxExamined() {
    return maxExamined;
  }

  /** Returns the mean number of objects examined in a pass. */
  double meanExamined() {
    return (double) examined / passes;
  }
}
