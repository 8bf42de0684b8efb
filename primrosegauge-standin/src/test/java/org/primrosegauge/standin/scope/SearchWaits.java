package org.primrosegauge.standin.scope;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.primrosegauge.core.JobId;
import org.primrosegauge.core.ServiceId;
import org.primrosegauge.core.job.Resources;
import org.primrosegauge.core.scope.ScopeJob;
import org.primrosegauge.core.scope.StepKey;
import org.primrosegauge.core.scope.StepSpec;
import org.primrosegauge.core.scope.TaskKey;

/**
 * Finds jobs that wait although they could run: nothing of them runs, the turn of a task has come,
 * there is room for it twice over, and less than half of its service is in use. A task that lasts
 * is judged by itself, however full the service is.
 */
final class SearchWaits {

  private static final int TWICE = 2;

  /** Time after the last run of a task that lasts before it counts as waiting, in milliseconds. */
  private static final long LASTING_MILLIS = 6_000;

  private final SearchWorld world;
  private final SearchJudge judge;
  private final Map<String, Long> waitingSince = new HashMap<>();

  SearchWaits(SearchWorld world) {
    this.world = world;
    this.judge = world.judge;
  }

  /** Judges the present; what waits without a reason for longer than a time is a violation. */
  void judge(long longestMillis) {
    Map<String, Long> before = Map.copyOf(waitingSince);
    waitingSince.clear();
    for (JobId id : judge.acceptedMillis.keySet()) {
      boolean isOver = judge.wasCancelled(id) || judge.hasFailed(id);
      if (!isOver) {
        waiting(id).forEach(what -> note(id, what, before));
      }
    }
    waitingSince.forEach(
        (what, since) -> {
          if (world.scope.now - since >= longestMillis) {
            judge.add(SearchRule.LOST, what + " waits although it has room");
          }
        });
  }

  private void note(JobId id, String what, Map<String, Long> before) {
    long since = before.getOrDefault(what, world.scope.now);
    boolean lasts = world.submitted.get(id).job().steps().get(0).longRunning();
    long lastEnd = judge.lastEndOfJobMillis.getOrDefault(id, 0L);
    waitingSince.put(what, lasts ? since : Math.max(since, lastEnd));
  }

  /** Returns what of a job waits without a reason. */
  private List<String> waiting(JobId id) {
    SearchWorld.Submitted known = world.submitted.get(id);
    ScopeJob job = known.job();
    ServiceId pool = world.latestService.get(known.prefix());
    List<String> found = new ArrayList<>();
    boolean hasRunning = false;
    for (int occurrence = 0; occurrence < job.recurrence().occurrences(); occurrence++) {
      if (job.recurrence().dueMillis(occurrence) > world.scope.now) {
        break;
      }
      for (int number = 0; number < job.steps().size(); number++) {
        StepKey key = new StepKey(id, occurrence, number);
        StepSpec step = job.steps().get(number);
        List<TaskKey> idle = idleTasks(key, step);
        hasRunning |= idle.size() < openTasks(key, step);
        if (!idle.isEmpty() && hasTurn(key, job) && hasRoom(key, step, pool)) {
          found.add(key.toString());
        }
      }
    }
    boolean lasts = job.steps().get(0).longRunning();
    boolean isExcused = !lasts && (hasRunning || isBusy(pool));
    return isExcused ? List.of() : found;
  }

  private boolean hasTurn(StepKey key, ScopeJob job) {
    return job.steps().get(key.step()).dependsOn().stream()
        .allMatch(
            earlier ->
                judge.isDone(
                    new StepKey(key.job(), key.occurrence(), earlier), job.steps().get(earlier)));
  }

  private int openTasks(StepKey key, StepSpec step) {
    if (judge.isDone(key, step)) {
      return 0;
    }
    int open = 0;
    for (int i = 0; i < step.count(); i++) {
      open += isOver(key.task(i), step) ? 0 : 1;
    }
    return open;
  }

  private List<TaskKey> idleTasks(StepKey key, StepSpec step) {
    List<TaskKey> idle = new ArrayList<>();
    for (int i = 0; i < step.count() && !judge.isDone(key, step); i++) {
      TaskKey task = key.task(i);
      boolean runs = !judge.running.getOrDefault(task, Map.of()).isEmpty();
      boolean wasJustRunning =
          step.longRunning()
              && world.scope.now < judge.lastEndMillis.getOrDefault(task, 0L) + LASTING_MILLIS;
      if (!runs && !wasJustRunning && !isOver(task, step)) {
        idle.add(task);
      }
    }
    return idle;
  }

  private boolean isOver(TaskKey task, StepSpec step) {
    return !step.longRunning() && judge.done.contains(task);
  }

  /** Returns whether the workers have room for a task, or a gang, twice over. */
  private boolean hasRoom(StepKey key, StepSpec step, ServiceId pool) {
    int needed = TWICE * (step.gang() ? step.count() : 1);
    int room = 0;
    for (EmulatedWorker worker : world.scope.workers.values()) {
      boolean isFit =
          worker.info.pool().equals(pool)
              && !worker.drains
              && (step.requiredLabel().isEmpty()
                  || worker.info.labels().contains(step.requiredLabel()));
      room += isFit ? roomOn(worker, key, step, needed) : 0;
    }
    return room >= needed;
  }

  private static int roomOn(EmulatedWorker worker, StepKey key, StepSpec step, int needed) {
    Resources free = worker.info.capacity().minus(worker.used());
    long here =
        worker.runs.keySet().stream().filter(run -> run.task().stepKey().equals(key)).count();
    int room = 0;
    while (room < needed
        && step.task().fitsIn(free)
        && (step.maxPerWorker() == 0 || here + room < step.maxPerWorker())) {
      free = free.minus(step.task());
      room++;
    }
    return room;
  }

  /** Returns whether half of a service is in use, in any resource. */
  private boolean isBusy(ServiceId pool) {
    Resources used = Resources.NONE;
    Resources total = Resources.NONE;
    for (EmulatedWorker worker : world.scope.workers.values()) {
      if (worker.info.pool().equals(pool)) {
        used = used.plus(worker.used());
        total = total.plus(worker.info.capacity());
      }
    }
    Resources twice = used.plus(used);
    return twice.milliCores() >= total.milliCores()
        || twice.memoryMib() >= total.memoryMib()
        || twice.accelerators() >= total.accelerators();
  }
}
