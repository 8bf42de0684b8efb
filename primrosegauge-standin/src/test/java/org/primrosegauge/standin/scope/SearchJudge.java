package org.primrosegauge.standin.scope;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.JobId;
import org.primrosegauge.core.scope.JobEntry;
import org.primrosegauge.core.scope.JobStatus;
import org.primrosegauge.core.scope.RunId;
import org.primrosegauge.core.scope.RunOutcome;
import org.primrosegauge.core.scope.ScopeCommand;
import org.primrosegauge.core.scope.ScopeResult;
import org.primrosegauge.core.scope.StepKey;
import org.primrosegauge.core.scope.StepSpec;
import org.primrosegauge.core.scope.TaskKey;
import org.primrosegauge.core.scope.WorkerKey;

/**
 * Judges a searched sequence by what callers, operators and workers have seen alone.
 *
 * <p>Rules with a time bound are judged only while the leader has been sound for some seconds, and
 * not for orders that a worker carries out late.
 */
final class SearchJudge implements ScopeObserver {

  /** Time after a trouble of the leader in which no rule with a time bound is judged. */
  private static final long CONTACT_MILLIS = 3_000;

  private static final long CANCEL_MILLIS = 3_000;
  private static final long DRAIN_MILLIS = 2_000;
  private static final long DOMAIN_OUT_MILLIS = 5_000;
  private static final long EARLY_MILLIS = 250;

  /** Time after which the end of a job has to be shown, in milliseconds. */
  private static final long VISIBLE_MILLIS = 3_000;

  record Violation(SearchRule rule, String text) {}

  private final SearchWorld world;
  final Map<JobId, Long> acceptedMillis = new LinkedHashMap<>();
  final Set<JobId> begunJobs = new HashSet<>();
  final Map<TaskKey, Long> firstBeginMillis = new HashMap<>();
  final Set<JobId> cancelsSent = new HashSet<>();
  final Set<TaskKey> done = new HashSet<>();

  /** Tasks whose end as done was lost with its worker, or with the lease of its worker. */
  final Set<TaskKey> uncertain = new HashSet<>();

  final Map<TaskKey, Map<RunId, EmulatedWorker>> running = new HashMap<>();

  /** Time at which the latest run of a task ended, in milliseconds. */
  final Map<TaskKey, Long> lastEndMillis = new HashMap<>();

  /** Time at which the latest run of a job ended, in milliseconds. */
  final Map<JobId, Long> lastEndOfJobMillis = new HashMap<>();

  private final Map<JobId, Long> cancelledMillis = new HashMap<>();
  private final Map<WorkerKey, Long> drainMillis = new HashMap<>();
  private final Map<FailureDomainId, Long> domainOutMillis = new HashMap<>();
  private final Map<StepKey, Set<RunId>> failed = new HashMap<>();
  private final Set<Violation> violations = new LinkedHashSet<>();

  private boolean watchesGangs;

  SearchJudge(SearchWorld world) {
    this.world = world;
  }

  /** Sets whether a member of a gang that ends because the others did not come is judged. */
  void watchGangs(boolean isUndisturbed) {
    watchesGangs = isUndisturbed;
  }

  // What is seen

  @Override
  public void committed(ScopeCommand command, ScopeResult result) {
    if (command instanceof ScopeCommand.Submit submit && result == ScopeResult.APPLIED) {
      acceptedMillis.putIfAbsent(submit.job().id(), now());
    } else if (command instanceof ScopeCommand.Cancel cancel) {
      if (result == ScopeResult.APPLIED || result == ScopeResult.UNKNOWN_JOB) {
        cancelledMillis.putIfAbsent(cancel.job(), now());
      }
    } else if (command instanceof ScopeCommand.SwitchDrain drain) {
      EmulatedWorker worker = world.scope.workers.get(drain.worker().target().value());
      boolean isOwn = worker != null && worker.info.key().equals(drain.worker()) && worker.drains;
      if (drain.isDraining() && isOwn) {
        drainMillis.putIfAbsent(drain.worker(), now());
      } else if (!drain.isDraining()) {
        drainMillis.remove(drain.worker());
      }
    } else if (command instanceof ScopeCommand.SwitchDomain domain) {
      if (domain.isOut()) {
        domainOutMillis.putIfAbsent(domain.domain(), now());
      } else {
        domainOutMillis.remove(domain.domain());
      }
    }
  }

  void domainBack(FailureDomainId domain) {
    domainOutMillis.remove(domain);
  }

  void cancelSent(JobId job) {
    cancelsSent.add(job);
  }

  @Override
  public void began(EmulatedWorker worker, EmulatedWorker.Run run) {
    TaskKey task = run.id.task();
    running.computeIfAbsent(task, key -> new HashMap<>()).put(run.id, worker);
    begunJobs.add(task.job());
    firstBeginMillis.putIfAbsent(task, now());
    judgeRequest(run);
    judgeWorker(worker, run);
    if (isInTouch()) {
      judgeTimes(worker, run);
    }
  }

  @Override
  public void ended(EmulatedWorker worker, EmulatedWorker.Run run, RunOutcome outcome) {
    TaskKey task = run.id.task();
    running.getOrDefault(task, new HashMap<>()).remove(run.id);
    lastEndMillis.put(task, now());
    lastEndOfJobMillis.put(task.job(), now());
    if (outcome == RunOutcome.DONE) {
      done.add(task);
      uncertain.remove(task);
    } else if (outcome == RunOutcome.FAILED) {
      failed.computeIfAbsent(task.stepKey(), key -> new HashSet<>()).add(run.id);
    } else if (outcome == RunOutcome.ALONE && watchesGangs && !wasCancelled(task.job())) {
      add(SearchRule.GANG, run.id + " ended alone");
    }
  }

  @Override
  public void endsLost(EmulatedWorker worker) {
    worker.ended.stream()
        .filter(entry -> entry.end().outcome() == RunOutcome.DONE)
        .forEach(entry -> uncertain.add(entry.end().run().task()));
  }

  private long now() {
    return world.scope.now;
  }

  private boolean isInTouch() {
    return isLeaderSound() && !world.scope.network.isDeliveringLate;
  }

  /** Returns whether the leader has been sound for some seconds. */
  boolean isLeaderSound() {
    return now() >= world.leaderTroubleMillis + CONTACT_MILLIS;
  }

  // What is judged at each start

  private void judgeRequest(EmulatedWorker.Run run) {
    TaskKey task = run.id.task();
    if (!acceptedMillis.containsKey(task.job())) {
      add(SearchRule.UNASKED, run.id + " begins, its job was not accepted");
    }
    long due = world.submitted.get(task.job()).job().recurrence().dueMillis(task.occurrence());
    if (now() < due - EARLY_MILLIS) {
      add(SearchRule.EARLY, run.id + " begins before its time " + due);
    }
  }

  private void judgeWorker(EmulatedWorker worker, EmulatedWorker.Run run) {
    TaskKey task = run.id.task();
    String prefix = world.submitted.get(task.job()).prefix();
    if (!world.services.get(prefix).contains(worker.info.pool())) {
      add(SearchRule.ROUTE, run.id + " begins on a worker of " + worker.info.pool());
    }
    String label = run.spec.requiredLabel();
    if (!label.isEmpty() && !worker.info.labels().contains(label)) {
      add(SearchRule.ROUTE, run.id + " begins on a worker without " + label);
    }
    long beside =
        worker.runs.keySet().stream()
            .filter(other -> other.task().stepKey().equals(task.stepKey()))
            .count();
    if (run.spec.maxPerWorker() > 0 && beside > run.spec.maxPerWorker()) {
      add(SearchRule.ROUTE, run.id + " begins beside " + (beside - 1) + " of its step");
    }
  }

  private void judgeTimes(EmulatedWorker worker, EmulatedWorker.Run run) {
    Long drained = drainMillis.get(worker.info.key());
    if (drained != null && now() > drained + DRAIN_MILLIS) {
      add(SearchRule.DRAIN, run.id + " begins " + (now() - drained) + " ms after the drain");
    }
    Long out = domainOutMillis.get(worker.info.domain());
    if (out != null && now() > out + DOMAIN_OUT_MILLIS) {
      add(SearchRule.DOMAIN_OUT, run.id + " begins " + (now() - out) + " ms after its domain left");
    }
    Long cancelled = cancelledMillis.get(run.id.task().job());
    if (cancelled != null && now() > cancelled + CANCEL_MILLIS) {
      add(SearchRule.UNASKED, run.id + " begins " + (now() - cancelled) + " ms after its cancel");
    }
  }

  // What is judged at the end

  /** Judges what became of each job, some time after the last event. */
  void judgeOutcomes() {
    world.scope.checker.violations.forEach(text -> add(SearchRule.CHECKER, text));
    acceptedMillis.keySet().forEach(this::judgeOutcome);
  }

  private void judgeOutcome(JobId id) {
    JobEntry entry = world.scope.ledger.job(id).orElse(null);
    if (entry == null) {
      add(SearchRule.LOST, id + " was accepted and is not known");
      return;
    }
    JobStatus status = entry.status();
    if (cancelledMillis.containsKey(id)) {
      if (!status.isFinal()) {
        add(SearchRule.UNASKED, id + " was cancelled and goes on");
      }
      if (isRunning(id)) {
        add(SearchRule.UNASKED, id + " was cancelled and runs");
      }
      return;
    }
    boolean isDone = isDone(id);
    boolean isVisible = now() >= lastEndOfJobMillis.getOrDefault(id, 0L) + VISIBLE_MILLIS;
    boolean isCertain = isVisible && uncertain.stream().noneMatch(task -> task.job().equals(id));
    if (status == JobStatus.COMPLETED != isDone && isCertain && !hasFailed(id)) {
      add(SearchRule.LOST, id + " is " + status + ", all tasks done: " + isDone);
    }
    if (status == JobStatus.CANCELLED && !cancelsSent.contains(id)) {
      add(SearchRule.LOST, id + " is cancelled, by nobody");
    }
    if (status == JobStatus.FAILED && !hasFailed(id)) {
      add(SearchRule.LOST, id + " is failed without " + SearchWorld.MAX_ATTEMPTS + " failures");
    }
  }

  private boolean isRunning(JobId id) {
    return running.entrySet().stream()
        .anyMatch(entry -> entry.getKey().job().equals(id) && !entry.getValue().isEmpty());
  }

  boolean isDone(JobId id) {
    SearchWorld.Submitted known = world.submitted.get(id);
    for (int occurrence = 0; occurrence < known.job().recurrence().occurrences(); occurrence++) {
      for (int step = 0; step < known.job().steps().size(); step++) {
        if (!isDone(new StepKey(id, occurrence, step), known.job().steps().get(step))) {
          return false;
        }
      }
    }
    return true;
  }

  /** Returns whether a step is done; one end represents all members of a gang. */
  boolean isDone(StepKey key, StepSpec spec) {
    if (spec.longRunning()) {
      return false;
    }
    int count = 0;
    for (int i = 0; i < spec.count(); i++) {
      count += done.contains(key.task(i)) ? 1 : 0;
    }
    return spec.gang() ? count > 0 : count == spec.count();
  }

  /** Returns whether enough runs of a task, or of a gang, have failed to end the job. */
  boolean hasFailed(JobId id) {
    for (Map.Entry<StepKey, Set<RunId>> step : failed.entrySet()) {
      if (step.getKey().job().equals(id) && step.getValue().size() >= SearchWorld.MAX_ATTEMPTS) {
        return true;
      }
    }
    return false;
  }

  boolean wasCancelled(JobId id) {
    return cancelsSent.contains(id);
  }

  void add(SearchRule rule, String text) {
    violations.add(new Violation(rule, "at " + now() + ": " + text));
  }

  List<Violation> violations() {
    return new ArrayList<>(violations);
  }
}
