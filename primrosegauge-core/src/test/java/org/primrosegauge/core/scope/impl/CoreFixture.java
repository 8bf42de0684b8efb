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
import org.primrosegauge.core.scope.StepSpec;
import org.primrosegauge.core.scope.WorkerHeartbeat;
import org.primrosegauge.core.scope.WorkerInfo;
import org.primrosegauge.core.scope.WorkerKey;
import org.primrosegauge.core.scope.cfg.ScopeSettings;

/**
 * A core with its ledger, for tests that hand in each event by hand and see each action.
 *
 * <p>Workers' clocks show the present. Nothing is committed or answered unless the test does so.
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

  // Workers

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

  /** Records a lifetime and has the core meet it: a heartbeat, and a look that finds nothing. */
  void registerAndPoll(WorkerInfo worker) {
    apply(new ScopeCommand.SeeWorker(worker));
    heartbeat(worker, false);
    core.pollWorkers(now());
    answerPoll(worker, new PollResult(PollResult.Kind.REPORT, nowMillis, List.of(), List.of()));
  }

  void heartbeat(WorkerInfo worker, boolean drains) {
    WorkerHeartbeat status =
        new WorkerHeartbeat(worker, ++sequence, drains, drains ? 3_000 : 0, nowMillis);
    core.handleHeartbeat(status, now());
  }

  /** Answers a look with the runs given as going on. */
  void answerPoll(WorkerInfo worker, RunId... running) {
    List<PollResult.RunningEntry> entries = new ArrayList<>();
    for (RunId run : running) {
      entries.add(new PollResult.RunningEntry(run, "", 10));
    }
    answerPoll(worker, new PollResult(PollResult.Kind.REPORT, nowMillis, entries, List.of()));
  }

  void answerPoll(WorkerInfo worker, PollResult answer) {
    core.handlePollResult(worker.key(), answer, now());
  }

  // Log

  void startLeading(long term) {
    core.startLeading(new Term(term), now());
  }

  void apply(ScopeCommand command) {
    ledger.apply(command);
    core.applied(command, now());
  }

  /** Commits all that was proposed since the actions were last taken. */
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

  // Time

  /** Lets time pass in small steps, with ticks and looks; answers none of them. */
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

  // Actions

  /** Returns the actions of a type so far, and forgets these. */
  <T extends ScopeAction> List<T> take(Class<T> type) {
    actions.addAll(core.takeActions());
    List<T> found = actions.stream().filter(type::isInstance).map(type::cast).toList();
    actions.removeIf(type::isInstance);
    return found;
  }

  /** Returns the proposals of a type so far, and forgets these. */
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
