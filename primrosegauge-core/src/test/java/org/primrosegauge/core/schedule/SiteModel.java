package org.primrosegauge.core.schedule;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.primrosegauge.core.CustomerId;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.JobId;
import org.primrosegauge.core.RackId;
import org.primrosegauge.core.TargetId;
import org.primrosegauge.core.TaskId;
import org.primrosegauge.core.Term;
import org.primrosegauge.core.job.JobPhase;
import org.primrosegauge.core.job.JobSpec;
import org.primrosegauge.core.job.Resources;
import org.primrosegauge.core.schedule.cfg.SchedulerSettings;
import org.primrosegauge.core.schedule.cfg.SchedulingPolicy;
import org.primrosegauge.core.site.Adjacency;

/** Books what workers were told, as an oracle for the scheduler's promises. */
final class SiteModel {

  static final FailureDomainId KLANG = new FailureDomainId("klang");
  static final Resources WORKER = new Resources(64_000, 250_000, 8);
  static final long LEASE_MILLIS = 1_000_000_000L;

  final DomainScheduler scheduler;
  final Map<TaskId, TargetId> running = new LinkedHashMap<>();
  final Map<TaskId, JobSpec> records = new HashMap<>();
  final Map<TaskId, TargetId> reserved = new LinkedHashMap<>();
  final List<SchedulerAction> unanswered = new ArrayList<>();
  final Map<JobId, JobPhase> phases = new HashMap<>();
  final Map<JobId, JobReason> reasons = new HashMap<>();
  final Map<JobId, Set<Integer>> startedAttempts = new HashMap<>();
  final Set<JobId> checkpointed = new LinkedHashSet<>();
  final List<SchedulerAction> last = new ArrayList<>();
  boolean out;
  long now;

  SiteModel(SchedulingPolicy policy) {
    scheduler = new DomainScheduler(KLANG, SchedulerSettings.DEFAULTS, policy);
  }

  /** A domain with a lease, past its rebuild, with workers of eight accelerators. */
  static SiteModel ready(SchedulingPolicy policy, int workers, int perRack) {
    SiteModel model = new SiteModel(policy);
    model.apply(model.scheduler.leaseGranted(new Term(1), LEASE_MILLIS, 0));
    for (int i = 0; i < workers; i++) {
      model.announce(i, perRack);
    }
    model.advance(SchedulerSettings.DEFAULTS.rebuildMillis());
    return model;
  }

  static TargetId target(int index) {
    return new TargetId(String.format("w%03d", index));
  }

  static JobSpec job(String id, int tasks, int accelerators) {
    return new JobSpec(
        new JobId(id),
        new CustomerId("minyak"),
        tasks,
        new Resources(1_000, 1_000, accelerators),
        Adjacency.DOMAIN,
        false,
        false,
        true,
        true,
        60_000,
        0,
        "run");
  }

  void announce(int index, int perRack) {
    List<RunningTask> tasks = new ArrayList<>();
    running.forEach(
        (task, target) -> {
          if (target.equals(target(index))) {
            tasks.add(new RunningTask(task, records.get(task)));
          }
        });
    List<TaskId> held = new ArrayList<>();
    reserved.forEach(
        (task, target) -> {
          if (target.equals(target(index))) {
            held.add(task);
          }
        });
    RackId rack = new RackId("r" + index / perRack);
    apply(
        scheduler.workerAnnounced(
            new WorkerDescription(target(index), rack, WORKER, tasks, held), now));
  }

  void advance(long millis) {
    now += millis;
    apply(scheduler.tick(now));
  }

  void submit(JobSpec job) {
    apply(scheduler.submit(job, now));
  }

  JobPhase phase(JobSpec job) {
    return phases.get(job.id());
  }

  void apply(List<SchedulerAction> actions) {
    last.clear();
    last.addAll(actions);
    for (SchedulerAction action : actions) {
      if (action instanceof SchedulerAction.JobChanged change) {
        phases.put(change.job(), change.phase());
        reasons.put(change.job(), change.reason());
      } else if (action instanceof SchedulerAction.Start start) {
        started(start);
      } else if (action instanceof SchedulerAction.Release release) {
        reserved.remove(release.task());
        unanswered.removeIf(
            other ->
                other instanceof SchedulerAction.Reserve reserve
                    && reserve.task().equals(release.task()));
      } else if (!(action instanceof SchedulerAction.GuaranteeChanged)) {
        unanswered.add(action);
      }
    }
  }

  private void started(SchedulerAction.Start start) {
    TaskId task = start.task();
    assertWithMessage("start in a domain that is out").that(out).isFalse();
    assertWithMessage("start of %s without a reservation", task)
        .that(reserved.get(task))
        .isEqualTo(start.target());
    Set<Integer> attempts =
        startedAttempts.computeIfAbsent(task.job(), id -> new LinkedHashSet<>());
    boolean first = attempts.add(task.attempt());
    if (first && attempts.size() > 1 && !start.job().repeatable()) {
      assertWithMessage("second start of %s", task).that(checkpointed.remove(task.job())).isTrue();
    }
    reserved.remove(task);
    running.put(task, start.target());
    records.put(task, start.job());
    unanswered.add(start);
  }

  /** Answers everything with yes, and stops with their usual outcome, until nothing is left. */
  void answerAll() {
    while (!unanswered.isEmpty()) {
      answer(0, true);
    }
  }

  /** Answers everything that is there now, checkpoints only on request. */
  void answerAllExceptCheckpoints(boolean checkpoints) {
    for (int i = unanswered.size() - 1; i >= 0; i--) {
      boolean checkpoint =
          unanswered.get(i) instanceof SchedulerAction.Stop stop
              && stop.mode() == StopMode.CHECKPOINT;
      if (checkpoints || !checkpoint) {
        answer(i, true);
      }
    }
  }

  /** Answers one message that is still unanswered. */
  void answer(int index, boolean yes) {
    SchedulerAction action = unanswered.remove(index);
    if (action instanceof SchedulerAction.Reserve reserve) {
      if (yes) {
        reserved.put(reserve.task(), reserve.target());
      }
      apply(scheduler.reserveReply(reserve.task(), yes, now));
    } else if (action instanceof SchedulerAction.Start start) {
      if (!yes) {
        running.remove(start.task());
      }
      apply(scheduler.startReply(start.task(), yes, now));
    } else if (action instanceof SchedulerAction.Stop stop && stop.mode() != StopMode.THROTTLE) {
      boolean save = stop.mode() == StopMode.CHECKPOINT && yes;
      if (save) {
        checkpointed.add(stop.task().job());
      }
      end(stop.task(), save ? TaskOutcome.CHECKPOINTED : TaskOutcome.LOST);
    }
  }

  /** Undoes a start that a lost keeper did not send; the worker still holds the reservation. */
  void unsend(SchedulerAction.Start start) {
    unanswered.remove(start);
    if (running.remove(start.task()) != null) {
      reserved.put(start.task(), start.target());
    }
  }

  /** Loses a message, or only its answer after the worker acted on it. */
  void drop(int index, boolean onlyAnswer) {
    SchedulerAction action = unanswered.remove(index);
    if (onlyAnswer) {
      return;
    }
    if (action instanceof SchedulerAction.Start start) {
      running.remove(start.task());
    }
  }

  int runningAttempts(JobId job) {
    Set<Integer> attempts = new LinkedHashSet<>();
    for (TaskId task : running.keySet()) {
      if (task.job().equals(job)) {
        attempts.add(task.attempt());
      }
    }
    return attempts.size();
  }

  void end(TaskId task, TaskOutcome outcome) {
    running.remove(task);
    apply(scheduler.taskEnded(task, outcome, now));
  }

  /** Ends every running task of a job. */
  void finish(JobSpec job) {
    for (TaskId task : List.copyOf(running.keySet())) {
      if (task.job().equals(job.id())) {
        end(task, TaskOutcome.DONE);
      }
    }
  }

  void lose(int worker) {
    running.values().removeIf(target(worker)::equals);
    reserved.values().removeIf(target(worker)::equals);
    unanswered.removeIf(action -> target(worker).equals(targetOf(action)));
    apply(scheduler.workerExpired(target(worker), now));
  }

  private static TargetId targetOf(SchedulerAction action) {
    if (action instanceof SchedulerAction.Reserve reserve) {
      return reserve.target();
    }
    if (action instanceof SchedulerAction.Start start) {
      return start.target();
    }
    return action instanceof SchedulerAction.Stop stop ? stop.target() : null;
  }
}
