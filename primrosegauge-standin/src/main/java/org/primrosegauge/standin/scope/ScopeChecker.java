package org.primrosegauge.standin.scope;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.primrosegauge.core.JobId;
import org.primrosegauge.core.scope.PollResult.EndedEntry;
import org.primrosegauge.core.scope.RunEnd;
import org.primrosegauge.core.scope.RunId;
import org.primrosegauge.core.scope.RunOutcome;
import org.primrosegauge.core.scope.ScopeAction;
import org.primrosegauge.core.scope.StepKey;
import org.primrosegauge.core.scope.StepRecord;
import org.primrosegauge.core.scope.TaskKey;
import org.primrosegauge.core.scope.WorkerKey;

/** Watches what must hold in a {@link EmulatedScope}, from what its workers see alone. */
final class ScopeChecker {

  private final EmulatedScope world;
  private final Map<JobId, Long> cancelledAt = new HashMap<>();
  private final Map<TaskKey, Set<RunId>> present = new HashMap<>();
  private final Map<TaskKey, Integer> failedNoted = new HashMap<>();
  private final Set<TaskKey> doneNoted = new HashSet<>();
  private final Map<RunId, RunOutcome> outcomes = new HashMap<>();
  private final Map<TaskKey, Set<String>> checkpoints = new HashMap<>();
  private final Map<RunId, WorkerKey> lapsedEnds = new HashMap<>();
  final List<String> violations = new ArrayList<>();
  final Map<RunOutcome, Integer> counts = new TreeMap<>();
  final Map<JobId, Long> firstBegin = new HashMap<>();

  /** Racks on which runs of a job began. */
  final Map<JobId, Set<String>> racks = new HashMap<>();

  ScopeChecker(EmulatedScope world) {
    this.world = world;
  }

  /** Notes that a cancel was acknowledged. */
  void cancelled(JobId job) {
    cancelledAt.putIfAbsent(job, world.now);
  }

  boolean hasEnded(RunId run) {
    return outcomes.containsKey(run);
  }

  /** Returns a new checkpoint of a run, valid for all members of its gang. */
  String checkpoint(EmulatedWorker.Run run) {
    String saved = run.id.task().job() + "-" + run.progressMillis;
    int count = run.spec.gang() ? run.spec.count() : 1;
    for (int i = 0; i < count; i++) {
      TaskKey task = run.spec.gang() ? run.id.task().stepKey().task(i) : run.id.task();
      checkpoints.computeIfAbsent(task, key -> new HashSet<>()).add(saved);
    }
    return saved;
  }

  void began(EmulatedWorker worker, EmulatedWorker.Run run, ScopeAction.Start order) {
    world.leader.trace("began", run.id + " on " + worker.info.key());
    TaskKey task = run.id.task();
    firstBegin.putIfAbsent(task.job(), world.now);
    racks.computeIfAbsent(task.job(), job -> new HashSet<>()).add(worker.info.rack());
    Set<RunId> running = present.computeIfAbsent(task, key -> new HashSet<>());
    if (!running.isEmpty()) {
      violation(run.id + " begins beside " + running);
    }
    running.add(run.id);
    if (!run.spec.longRunning() && doneNoted.contains(task)) {
      violation(run.id + " begins after its end as done was noted");
    }
    if (!run.spec.longRunning() && failedNoted.getOrDefault(task, 0) >= 3) {
      violation(run.id + " begins after three failed runs were noted");
    }
    if (!order.payload().equals("payload " + task.job())) {
      violation(run.id + " has another payload");
    }
    boolean isOwn =
        order.checkpoint().isEmpty()
            || checkpoints.getOrDefault(task, Set.of()).contains(order.checkpoint());
    if (!isOwn) {
      violation(run.id + " resumes from a checkpoint that is not its own");
    }
    if (!worker.used().fitsIn(worker.info.capacity())) {
      violation("worker " + worker.info.key() + " is over its capacity");
    }
    Long cancelled = cancelledAt.get(task.job());
    if (cancelled != null && world.now > cancelled + 3_000 && world.network.lateOrders == 0) {
      violation(run.id + " begins long after its cancel");
    }
    for (int dependency : run.spec.dependsOn()) {
      StepRecord step = world.ledger.step(new StepKey(task.job(), task.occurrence(), dependency));
      if (step != null && !step.isDone()) {
        violation(run.id + " begins before step " + dependency + " is done");
      }
    }
  }

  void ended(EmulatedWorker worker, EmulatedWorker.Run run, RunOutcome outcome) {
    world.leader.trace(
        "ended", run.id + " " + outcome + " on " + worker.info.key() + " #" + worker.ends);
    gone(run, outcome);
    if (outcome == RunOutcome.ALONE && world.isCalm) {
      violation(run.id + " ended alone");
    }
  }

  void gone(EmulatedWorker.Run run, RunOutcome outcome) {
    outcomes.put(run.id, outcome);
    counts.merge(outcome, 1, Integer::sum);
    present.getOrDefault(run.id.task(), new HashSet<>()).remove(run.id);
  }

  void lapsed(EmulatedWorker worker) {
    for (EndedEntry entry : worker.ended) {
      lapsedEnds.put(entry.end().run(), worker.info.key());
    }
  }

  /** An end counts as noted unless the lease lapsed since. */
  void noted(EmulatedWorker worker, EndedEntry entry) {
    world.leader.trace("noted", entry + " on " + worker.info.key());
    RunEnd end = entry.end();
    if (lapsedEnds.containsKey(end.run())) {
      return;
    }
    if (end.outcome() == RunOutcome.DONE) {
      doneNoted.add(end.run().task());
    } else if (end.outcome() == RunOutcome.FAILED) {
      failedNoted.merge(end.run().task(), 1, Integer::sum);
    }
  }

  private void violation(String what) {
    violations.add("at " + world.now + ": " + what);
  }
}
