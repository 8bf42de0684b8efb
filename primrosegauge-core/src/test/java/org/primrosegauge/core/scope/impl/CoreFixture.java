package org.primrosegauge.core.scope.impl;

import java.util.ArrayList;
import java.util.List;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.HostPort;
import org.primrosegauge.core.JobId;
import org.primrosegauge.core.ServiceId;
import org.primrosegauge.core.TargetId;
import org.primrosegauge.core.Term;
import org.primrosegauge.core.job.Resources;
import org.primrosegauge.core.scope.ClockReading;
import org.primrosegauge.core.scope.PollResult;
import org.primrosegauge.core.scope.QueueName;
import org.primrosegauge.core.scope.Recurrence;
import org.primrosegauge.core.scope.RunId;
import org.primrosegauge.core.scope.ScopeAction;
import org.primrosegauge.core.scope.ScopeCommand;
import org.primrosegauge.core.scope.ScopeJob;
import org.primrosegauge.core.scope.ScopeLedger;
import org.primrosegauge.core.scope.StartResult;
import org.primrosegauge.core.scope.StepSpec;
import org.primrosegauge.core.scope.WorkerHeartbeat;
import org.primrosegauge.core.scope.WorkerInfo;
import org.primrosegauge.core.scope.WorkerKey;
import org.primrosegauge.core.scope.cfg.ScopeSettings;

/**
 * A core with its ledger, for tests that pass in each event and inspect each action.
 *
 * <p>The workers' clocks equal the current time. Nothing is committed or answered unless the test
 * does so.
 */
final class CoreFixture {

  static final ServiceId POOL = new ServiceId("pool");
  static final Resources TASK = new Resources(1_000, 1_000, 1);
  private static final Resources WORKER = new Resources(8_000, 8_000, 8);

  final ScopeLedger ledger = new ScopeLedger(60_000);
  final ScopeCore core = new ScopeCore(ledger, ScopeSettings.DEFAULT);
  private final List<ScopeAction> actions = new ArrayList<>();
  private long sequence;
  long nowMillis = 100_000;

  static WorkerInfo worker(int number, long bornMillis) {
    return new WorkerInfo(
        new WorkerKey(new TargetId("w" + number), bornMillis),
        new HostPort("10.0.0." + number, 80),
        POOL,
        new FailureDomainId("d"),
        WORKER,
        List.of(),
        "");
  }

  /**
   * Registers an incarnation of a worker, sends a heartbeat, and answers the first poll with an
   * empty report.
   */
  void registerAndPoll(WorkerInfo worker) {
    apply(new ScopeCommand.SeeWorker(worker));
    heartbeat(worker, false);
    core.pollWorkers(now());
    answerPoll(worker, new PollResult(PollResult.Kind.REPORT, nowMillis, List.of(), List.of()));
  }

  /** Starts leading with one worker, submits a job of one task and places it there. */
  RunId placeRun(WorkerInfo worker) {
    startLeading(1);
    registerAndPoll(worker);
    submit("job", step(1));
    plan();
    commitAll();
    return take(ScopeAction.Start.class).get(0).run();
  }

  /** The same, and the worker starts the run. */
  RunId startRun(WorkerInfo worker) {
    RunId run = placeRun(worker);
    core.handleStartResult(run, StartResult.STARTED, nowMillis, now());
    return run;
  }

  void heartbeat(WorkerInfo worker, boolean isDraining) {
    WorkerHeartbeat heartbeat =
        new WorkerHeartbeat(worker, ++sequence, isDraining, isDraining ? 3_000 : 0, nowMillis);
    core.handleHeartbeat(heartbeat, now());
  }

  /** Answers a poll with a report that lists the given runs as running. */
  void answerPoll(WorkerInfo worker, RunId... running) {
    List<PollResult.RunningEntry> entries = new ArrayList<>();
    for (RunId run : running) {
      entries.add(new PollResult.RunningEntry(run, "", 10));
    }
    answerPoll(worker, new PollResult(PollResult.Kind.REPORT, nowMillis, entries, List.of()));
  }

  void answerPoll(WorkerInfo worker, PollResult result) {
    core.handlePollResult(worker.key(), result, now());
  }

  void startLeading(long term) {
    core.startLeading(new Term(term), now());
  }

  void apply(ScopeCommand command) {
    ledger.apply(command);
    core.applied(command, now());
  }

  /** Commits all proposals since the actions were last taken. */
  void commitAll() {
    takeProposals(ScopeCommand.class).forEach(this::apply);
  }

  void submit(String id, StepSpec... steps) {
    apply(
        new ScopeCommand.Submit(
            new ScopeJob(
                new JobId(id),
                new QueueName("q"),
                POOL,
                null,
                3,
                nowMillis,
                "payload",
                List.of(steps),
                Recurrence.NONE)));
  }

  static StepSpec step(int tasks) {
    return StepSpec.builder(tasks).task(TASK).estimatedMillis(60_000).build();
  }

  /** Advances the time in steps of 50 ms, with ticks and polls; answers none of the polls. */
  void advance(long millis) {
    long end = nowMillis + millis;
    while (nowMillis < end) {
      nowMillis += 50;
      core.tick(now());
      core.pollWorkers(now());
    }
  }

  void plan() {
    core.plan(now());
  }

  ClockReading now() {
    return new ClockReading(nowMillis, nowMillis);
  }

  /** Returns the actions of a type so far and removes them. */
  <T extends ScopeAction> List<T> take(Class<T> type) {
    actions.addAll(core.takeActions());
    List<T> found = actions.stream().filter(type::isInstance).map(type::cast).toList();
    actions.removeIf(type::isInstance);
    return found;
  }

  /** Returns the proposals of a type so far and removes them. */
  <T extends ScopeCommand> List<T> takeProposals(Class<T> type) {
    actions.addAll(core.takeActions());
    List<T> found =
        actions.stream()
            .filter(ScopeAction.Propose.class::isInstance)
            .map(action -> ((ScopeAction.Propose) action).command())
            .filter(type::isInstance)
            .map(type::cast)
            .toList();
    actions.removeIf(
        action ->
            action instanceof ScopeAction.Propose propose && type.isInstance(propose.command()));
    return found;
  }
}
