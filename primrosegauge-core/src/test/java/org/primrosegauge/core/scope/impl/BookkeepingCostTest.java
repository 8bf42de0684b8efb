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
class BookkeepingCostTest {

  private static final ServiceId POOL = new ServiceId("pool");
  private static final Resources WORKER = new Resources(64_000, 256_000, 8);
  private static final Resources TASK = new Resources(1_000, 1_000, 1);
  private static final JobId JOB = new JobId("job");
  private static final int FEW = 30;

  private ScopeLedger ledger;
  private ScopeCore core;
  private long now;

  /** Issue 16: each event on a fleet of 246 walked all workers and runs on the log's thread. */
  @ParameterizedTest
  @ValueSource(ints = {246, 2_800})
  void eventsDoNotCostMoreOnLargerFleet(int workers) {
    assertThat(costs(workers)).isEqualTo(costs(FEW));
  }

  private Map<String, Long> costs(int workers) {
    begin(workers);
    Map<String, Long> costs = new TreeMap<>();
    WorkerInfo one = info(7, 1);
    costs.put(
        "heartbeat",
        costOf(() -> core.workerReported(new WorkerHeartbeat(one, 9, false, 0, now), present())));
    costs.put("look answer", costOf(() -> core.lookAnswered(one.key(), report(7), present())));
    costs.put("tick", costOf(() -> core.tick(present())));
    // A lifetime that the ledger does not know yet, and its first word.
    WorkerInfo next = info(9, 2);
    costs.put(
        "first heartbeat",
        costOf(() -> core.workerReported(new WorkerHeartbeat(next, 1, false, 0, now), present())));
    costs.put("new lifetime", costOf(() -> apply(new ScopeCommand.SeeWorker(next))));
    costs.put("last word", costOf(() -> core.workerLeft(new TargetId("w11"), present())));
    costs.put("forgotten", costOf(() -> apply(new ScopeCommand.ForgetWorker(info(11, 1).key()))));
    return costs;
  }

  /** Returns how much an event and the looks after it examine, in the middle of a quiet time. */
  private long costOf(Runnable event) {
    now += 300;
    core.tick(present());
    core.look(present());
    long before = core.examined();
    event.run();
    core.look(present());
    return core.examined() - before;
  }

  private void begin(int workers) {
    now = 100_000;
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
                now,
                "payload",
                List.of(step),
                Recurrence.NONE)));
    List<Placement> placements = new ArrayList<>();
    for (int i = 0; i < workers; i++) {
      ledger.apply(new ScopeCommand.SeeWorker(info(i, 1)));
      placements.add(new Placement(run(i), info(i, 1).key()));
    }
    ledger.apply(new ScopeCommand.Place(placements));
    core.takeOffice(new Term(1), present());
    assertThat(meetAll()).isEqualTo(workers);
    core.tick(present());
    core.look(present());
  }

  /** Answers looks until each worker has had its first, which come in groups. */
  private int meetAll() {
    Set<WorkerKey> met = new HashSet<>();
    List<ScopeAction.Poll> group = looks();
    while (!group.isEmpty()) {
      for (ScopeAction.Poll look : group) {
        int number = Integer.parseInt(look.worker().target().value().substring(1));
        core.workerReported(new WorkerHeartbeat(info(number, 1), 1, false, 0, now), present());
        core.lookAnswered(look.worker(), report(number), present());
        met.add(look.worker());
      }
      group = met.size() < ledger.workers().size() ? looks() : List.of();
    }
    return met.size();
  }

  private List<ScopeAction.Poll> looks() {
    core.look(present());
    return core.takeActions().stream()
        .filter(ScopeAction.Poll.class::isInstance)
        .map(ScopeAction.Poll.class::cast)
        .toList();
  }

  private void apply(ScopeCommand command) {
    ledger.apply(command);
    core.applied(command, present());
  }

  private ClockReading present() {
    return new ClockReading(now, now);
  }

  private static RunId run(int worker) {
    return new RunId(new StepKey(JOB, 0, 0).task(worker), 1);
  }

  private PollResult report(int worker) {
    return new PollResult(
        PollResult.Kind.REPORT,
        now,
        List.of(new PollResult.RunningEntry(run(worker), "", 10)),
        List.of());
  }

  private static WorkerInfo info(int number, long bornMillis) {
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
