package org.primrosegauge.bench.policy;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.JobId;
import org.primrosegauge.core.Revision;
import org.primrosegauge.core.TaskId;
import org.primrosegauge.core.Term;
import org.primrosegauge.core.job.JobPhase;
import org.primrosegauge.core.job.JobSpec;
import org.primrosegauge.core.schedule.DomainScheduler;
import org.primrosegauge.core.schedule.FleetCapacity;
import org.primrosegauge.core.schedule.SchedulerAction;
import org.primrosegauge.core.schedule.StopMode;
import org.primrosegauge.core.schedule.TaskOutcome;
import org.primrosegauge.core.schedule.cfg.SchedulerSettings;
import org.primrosegauge.core.schedule.cfg.SchedulingPolicy;
import org.primrosegauge.core.site.DomainSwitch;

/**
 * Drives one domain's scheduler event by event in virtual time. Workers answer at once; a gang ends
 * when its true run time has passed; a checkpoint takes time and costs a restore.
 */
final class DomainRun {

  private static final long TICK_MILLIS = 5_000;
  private static final long SAMPLE_MILLIS = 60_000;
  private static final long CHECKPOINT_MILLIS = 2_000;
  private static final long RESTORE_MILLIS = 10_000;
  private static final long HOUR_MILLIS = 3_600_000;
  private static final long DRAIN_HOURS = 2_000;

  private record Event(long atMillis, long sequence, Runnable effect) {}

  private static final class Progress {
    private final Workload.Arrival arrival;
    private long leftMillis;
    private long runningSince = -1;
    private int attempt;

    private Progress(Workload.Arrival arrival) {
      this.arrival = arrival;
      this.leftMillis = arrival.runMillis();
    }
  }

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::sequence));
  private final Map<JobId, Progress> jobs = new HashMap<>();
  private final Set<TaskId> running = new HashSet<>();
  private final Deque<SchedulerAction> actions = new ArrayDeque<>();
  private final DomainScheduler scheduler;
  private final FailureDomainId domain;
  private final Outcome outcome;
  private long now;
  private long sequence;
  private int unfinished;

  DomainRun(SiteShape site, int index, SchedulingPolicy policy, Outcome outcome) {
    this.domain = new FailureDomainId(site.domains().get(index));
    this.outcome = outcome;
    scheduler = new DomainScheduler(domain, SchedulerSettings.DEFAULTS, policy);
    perform(scheduler.leaseGranted(new Term(1), Long.MAX_VALUE, 0));
    site.describe(index).forEach(worker -> perform(scheduler.workerAnnounced(worker, 0)));
    perform(scheduler.configurationChanged(site.configuration(index), 0));
    now = SchedulerSettings.DEFAULTS.rebuildMillis();
    perform(scheduler.tick(now));
  }

  /** Takes the domain out for a while. */
  void switchOut(long fromMillis, long toMillis) {
    at(fromMillis, () -> switchDomain(true, 1));
    at(toMillis, () -> switchDomain(false, 2));
  }

  private void switchDomain(boolean out, long revision) {
    perform(
        scheduler.domainSwitched(
            new DomainSwitch(
                domain, out, DomainSwitch.RunningWorkPolicy.CHECKPOINT, new Revision(revision)),
            now));
  }

  void run(List<Workload.Arrival> arrivals) {
    long begin = now;
    unfinished = arrivals.size();
    for (Workload.Arrival arrival : arrivals) {
      at(begin + arrival.atMillis(), () -> submit(arrival));
    }
    at(now + TICK_MILLIS, this::tick);
    long last = arrivals.isEmpty() ? 0 : arrivals.get(arrivals.size() - 1).atMillis();
    at(now + SAMPLE_MILLIS, () -> sample(begin + last));
    while (unfinished > 0 && !events.isEmpty() && now < begin + DRAIN_HOURS * HOUR_MILLIS) {
      Event event = events.poll();
      now = event.atMillis();
      event.effect().run();
    }
    outcome.unfinished += unfinished;
  }

  private void at(long atMillis, Runnable effect) {
    events.add(new Event(atMillis, sequence++, effect));
  }

  private void submit(Workload.Arrival arrival) {
    jobs.put(arrival.job().id(), new Progress(arrival));
    perform(scheduler.submit(arrival.job(), now));
  }

  private void tick() {
    perform(scheduler.tick(now));
    at(now + TICK_MILLIS, this::tick);
  }

  private void sample(long untilMillis) {
    FleetCapacity capacity = scheduler.capacity();
    if (capacity.free() >= SiteShape.ACCELERATORS_PER_WORKER) {
      outcome.fragmentation(capacity.fragmentation());
    }
    outcome.used(capacity.accelerators() - capacity.free(), capacity.accelerators());
    if (now < untilMillis) {
      at(now + SAMPLE_MILLIS, () -> sample(untilMillis));
    }
  }

  /** Carries actions out in order; answers come right after, as further events of this instant. */
  private void perform(List<SchedulerAction> emitted) {
    boolean nested = !actions.isEmpty();
    actions.addAll(emitted);
    if (nested) {
      return;
    }
    while (!actions.isEmpty()) {
      SchedulerAction action = actions.peek();
      perform(action);
      actions.remove();
    }
  }

  private void perform(SchedulerAction action) {
    if (action instanceof SchedulerAction.Reserve reserve) {
      perform(scheduler.reserveReply(reserve.task(), true, now));
    } else if (action instanceof SchedulerAction.Start start) {
      running.add(start.task());
      perform(scheduler.startReply(start.task(), true, now));
    } else if (action instanceof SchedulerAction.Stop stop && running.contains(stop.task())) {
      stop(stop);
    } else if (action instanceof SchedulerAction.JobChanged change) {
      changed(change);
    }
  }

  private void stop(SchedulerAction.Stop stop) {
    Progress progress = jobs.get(stop.task().job());
    boolean checkpoint = stop.mode() == StopMode.CHECKPOINT;
    pause(progress, checkpoint);
    TaskOutcome ended = checkpoint ? TaskOutcome.CHECKPOINTED : TaskOutcome.LOST;
    at(now + (checkpoint ? CHECKPOINT_MILLIS : 0), () -> end(stop.task(), ended));
  }

  private void pause(Progress progress, boolean checkpoint) {
    if (progress.runningSince < 0) {
      return;
    }
    int accelerators = progress.arrival.job().total().accelerators();
    long ran = now - progress.runningSince;
    progress.runningSince = -1;
    if (checkpoint) {
      progress.leftMillis = Math.max(0, progress.leftMillis - ran) + RESTORE_MILLIS;
      outcome.wasted((RESTORE_MILLIS + CHECKPOINT_MILLIS) * accelerators);
    } else {
      outcome.wasted(ran * accelerators);
    }
  }

  private void end(TaskId task, TaskOutcome how) {
    if (running.remove(task)) {
      perform(scheduler.taskEnded(task, how, now));
    }
  }

  private void changed(SchedulerAction.JobChanged change) {
    Progress progress = jobs.get(change.job());
    if (change.phase() == JobPhase.RUNNING) {
      progress.runningSince = now;
      progress.attempt = change.attempt();
      at(now + progress.leftMillis, () -> finish(change.job(), change.attempt()));
    } else if (change.phase() == JobPhase.STOPPING) {
      outcome.preemptions++;
    } else if (change.phase().isFinal()) {
      unfinished--;
      outcome.ended(progress.arrival, change.phase(), now - startOf(progress));
    }
  }

  private static long startOf(Progress progress) {
    return SchedulerSettings.DEFAULTS.rebuildMillis() + progress.arrival.atMillis();
  }

  private void finish(JobId id, int attempt) {
    Progress progress = jobs.get(id);
    if (progress.runningSince < 0 || progress.attempt != attempt) {
      return;
    }
    outcome.work(progress.arrival);
    JobSpec job = progress.arrival.job();
    for (int i = 0; i < job.tasks(); i++) {
      end(new TaskId(id, attempt, i), TaskOutcome.DONE);
    }
  }
}
