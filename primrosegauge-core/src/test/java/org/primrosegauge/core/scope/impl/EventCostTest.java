package org.primrosegauge.core.scope.impl;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.HostPort;
import org.primrosegauge.core.JobId;
import org.primrosegauge.core.ServiceId;
import org.primrosegauge.core.TargetId;
import org.primrosegauge.core.Term;
import org.primrosegauge.core.job.Resources;
import org.primrosegauge.core.scope.ClockReading;
import org.primrosegauge.core.scope.Placement;
import org.primrosegauge.core.scope.PollResult;
import org.primrosegauge.core.scope.QueueName;
import org.primrosegauge.core.scope.Recurrence;
import org.primrosegauge.core.scope.RunId;
import org.primrosegauge.core.scope.ScopeAction;
import org.primrosegauge.core.scope.ScopeCommand;
import org.primrosegauge.core.scope.ScopeJob;
import org.primrosegauge.core.scope.ScopeLedger;
import org.primrosegauge.core.scope.StepKey;
import org.primrosegauge.core.scope.StepSpec;
import org.primrosegauge.core.scope.WorkerHeartbeat;
import org.primrosegauge.core.scope.WorkerInfo;
import org.primrosegauge.core.scope.WorkerKey;
import org.primrosegauge.core.scope.cfg.ScopeSettings;

/** Workers with a run each, of which one at a time says something. */
class EventCostTest {

  private static final ServiceId POOL = new ServiceId("pool");
  private static final Resources WORKER = new Resources(64_000, 256_000, 8);
  private static final Resources TASK = new Resources(1_000, 1_000, 1);
  private static final JobId JOB = new JobId("job");
  private static final int SMALL_FLEET = 30;

  private ScopeLedger ledger;
  private ScopeCore core;
  private long nowMillis;

  /** Issue 16: each event on a fleet of 246 walked all workers and runs on the log's thread. */
  @ParameterizedTest
  @ValueSource(ints = {246, 2_800})
  void eventCostDoesNotGrowWithFleetSize(int workers) {
    assertThat(costs(workers)).isEqualTo(costs(SMALL_FLEET));
  }

  private Map<String, Long> costs(int workers) {
    setUp(workers);
    Map<String, Long> costs = new TreeMap<>();
    WorkerInfo one = workerInfo(7, 1);
    costs.put(
        "heartbeat",
        costOf(
            () -> core.handleHeartbeat(new WorkerHeartbeat(one, 9, false, 0, nowMillis), now())));
    costs.put("look answer", costOf(() -> core.handlePollResult(one.key(), report(7), now())));
    costs.put("tick", costOf(() -> core.tick(now())));
    // A lifetime that the ledger does not know yet, and its first word.
    WorkerInfo next = workerInfo(9, 2);
    costs.put(
        "first heartbeat",
        costOf(
            () -> core.handleHeartbeat(new WorkerHeartbeat(next, 1, false, 0, nowMillis), now())));
    costs.put("new lifetime", costOf(() -> apply(new ScopeCommand.SeeWorker(next))));
    costs.put("last word", costOf(() -> core.workerLeft(new TargetId("w11"), now())));
    costs.put(
        "forgotten", costOf(() -> apply(new ScopeCommand.ForgetWorker(workerInfo(11, 1).key()))));
    return costs;
  }

  /** Returns how much an event and the looks after it examine, in the middle of a quiet time. */
  private long costOf(Runnable event) {
    nowMillis += 300;
    core.tick(now());
    core.pollWorkers(now());
    long before = core.examined();
    event.run();
    core.pollWorkers(now());
    return core.examined() - before;
  }

  private void setUp(int workers) {
    nowMillis = 100_000;
    ledger = new ScopeLedger(60_000);
    core = new ScopeCore(ledger, ScopeSettings.DEFAULT);
    StepSpec step = StepSpec.builder(workers).task(TASK).estimatedMillis(60_000).build();
    ledger.apply(
        new ScopeCommand.Submit(
            new ScopeJob(
                JOB,
                new QueueName("q"),
                POOL,
                null,
                3,
                nowMillis,
                "payload",
                List.of(step),
                Recurrence.NONE)));
    List<Placement> placements = new ArrayList<>();
    for (int i = 0; i < workers; i++) {
      ledger.apply(new ScopeCommand.SeeWorker(workerInfo(i, 1)));
      placements.add(new Placement(run(i), workerInfo(i, 1).key()));
    }
    ledger.apply(new ScopeCommand.Place(placements));
    core.startLeading(new Term(1), now());
    assertThat(pollAll()).isEqualTo(workers);
    core.tick(now());
    core.pollWorkers(now());
  }

  /** Answers looks until each worker has had its first, which come in groups. */
  private int pollAll() {
    Set<WorkerKey> met = new HashSet<>();
    List<ScopeAction.Poll> group = polls();
    while (!group.isEmpty()) {
      for (ScopeAction.Poll look : group) {
        int number = Integer.parseInt(look.worker().target().value().substring(1));
        core.handleHeartbeat(
            new WorkerHeartbeat(workerInfo(number, 1), 1, false, 0, nowMillis), now());
        core.handlePollResult(look.worker(), report(number), now());
        met.add(look.worker());
      }
      group = met.size() < ledger.workers().size() ? polls() : List.of();
    }
    return met.size();
  }

  private List<ScopeAction.Poll> polls() {
    core.pollWorkers(now());
    return core.takeActions().stream()
        .filter(ScopeAction.Poll.class::isInstance)
        .map(ScopeAction.Poll.class::cast)
        .toList();
  }

  private void apply(ScopeCommand command) {
    ledger.apply(command);
    core.applied(command, now());
  }

  private ClockReading now() {
    return new ClockReading(nowMillis, nowMillis);
  }

  private static RunId run(int worker) {
    return new RunId(new StepKey(JOB, 0, 0).task(worker), 1);
  }

  private PollResult report(int worker) {
    return new PollResult(
        PollResult.Kind.REPORT,
        nowMillis,
        List.of(new PollResult.RunningEntry(run(worker), "", 10)),
        List.of());
  }

  private static WorkerInfo workerInfo(int number, long bornMillis) {
    return new WorkerInfo(
        new WorkerKey(new TargetId("w" + number), bornMillis),
        new HostPort("10.0." + number / 200 + "." + number % 200, 80),
        POOL,
        new FailureDomainId("d"),
        WORKER,
        List.of(),
        "");
  }
}
