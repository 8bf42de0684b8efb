package org.primrosegauge.bench.placement;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
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
import org.primrosegauge.core.schedule.DomainScheduler;
import org.primrosegauge.core.schedule.SchedulerAction;
import org.primrosegauge.core.schedule.StopMode;
import org.primrosegauge.core.schedule.TaskOutcome;
import org.primrosegauge.core.schedule.WorkerDescription;
import org.primrosegauge.core.schedule.cfg.SchedulerSettings;
import org.primrosegauge.core.schedule.cfg.SchedulingPolicy;
import org.primrosegauge.core.site.Adjacency;
import org.primrosegauge.core.site.BlockShape;
import org.primrosegauge.core.site.Customer;
import org.primrosegauge.core.site.Guarantee;
import org.primrosegauge.core.site.SiteConfiguration;

/** One domain kept full of tasks, with a queue; each step is one event, and its time is noted. */
final class LoadedDomain {

  private static final int PER_RACK = 8;
  private static final int CUSTOMERS = 95;
  private static final int GUARANTEED_CUSTOMERS = 8;
  private static final int WORKERS_PER_BLOCK = 16;
  private static final int MOST_QUEUED = 64;
  private static final int LARGEST_GANG = 256;
  private static final double FIRM_SHARE = 0.1;
  private static final double ACCELERATOR_SHARE = 0.5;
  private static final long STEP_MILLIS = 50;
  private static final long ANSWER_MILLIS = 1;
  private static final int STEPS_PER_TICK = 20;
  private static final Resources CAPACITY = new Resources(64_000, 250_000, 8);

  private final UniformRandomProvider random;
  private final DomainScheduler scheduler;
  private final Deque<SchedulerAction> unanswered = new ArrayDeque<>();
  private final Map<JobId, JobSpec> running = new HashMap<>();
  private final Map<JobId, Integer> attempts = new HashMap<>();
  private final List<JobId> runningOrder = new ArrayList<>();
  private final int wantedTasks;
  private int runningTasks;
  private int queued;
  private int submitted;
  private int steps;
  private long now;
  private Deque<TaskId> ending = new ArrayDeque<>();

  LoadedDomain(int index, int workers, int tasks) {
    random = RandomSource.XO_RO_SHI_RO_128_PP.create(7_000L + index);
    wantedTasks = tasks;
    FailureDomainId id = new FailureDomainId("domain-" + index);
    scheduler = new DomainScheduler(id, SchedulerSettings.DEFAULTS, SchedulingPolicy.DEFAULT);
    scheduler.leaseGranted(new Term(1), Long.MAX_VALUE, 0);
    for (int i = 0; i < workers; i++) {
      RackId rack = new RackId(String.format("r%03d", i / PER_RACK));
      TargetId target = new TargetId(String.format("w%04d", i));
      scheduler.workerAnnounced(
          new WorkerDescription(target, rack, CAPACITY, List.of(), List.of()), 0);
    }
    scheduler.configurationChanged(configuration(id, workers), 0);
    now = SchedulerSettings.DEFAULTS.rebuildMillis();
    note(scheduler.tick(now));
  }

  private static SiteConfiguration configuration(FailureDomainId id, int workers) {
    List<Customer> customers = new ArrayList<>();
    List<Guarantee> guarantees = new ArrayList<>();
    for (int i = 0; i < CUSTOMERS; i++) {
      CustomerId customer = new CustomerId(String.format("team-%02d", i));
      customers.add(new Customer(customer, 0, 1));
      if (i < Math.min(GUARANTEED_CUSTOMERS, workers / 4)) {
        int blocks = Math.max(1, workers / WORKERS_PER_BLOCK);
        Adjacency adjacency = i % 2 == 0 ? Adjacency.WORKER : Adjacency.RACK;
        guarantees.add(new Guarantee(customer, id, new BlockShape(blocks, 4, adjacency)));
      }
    }
    return new SiteConfiguration(List.of(), List.of(), customers, guarantees, List.of());
  }

  /**
   * Handles events up to the next decision and notes its time. Submissions, ends of tasks and ticks
   * are decisions; workers' answers only advance what was decided.
   */
  void step(Histogram histogram) {
    while (!unanswered.isEmpty()) {
      now += ANSWER_MILLIS;
      answer(unanswered.remove());
    }
    now += STEP_MILLIS;
    Runnable event = nextEvent();
    long begin = System.nanoTime();
    event.run();
    histogram.recordValue(System.nanoTime() - begin);
  }

  int runningTasks() {
    return runningTasks;
  }

  private Runnable nextEvent() {
    if (++steps % STEPS_PER_TICK == 0) {
      return () -> note(scheduler.tick(now));
    }
    if (!ending.isEmpty()) {
      TaskId task = ending.remove();
      return () -> note(scheduler.taskEnded(task, TaskOutcome.DONE, now));
    }
    if (queued < MOST_QUEUED && (runningTasks < wantedTasks || queued < MOST_QUEUED / 2)) {
      JobSpec job = draw();
      queued++;
      return () -> note(scheduler.submit(job, now));
    }
    endOneGang();
    return () -> note(scheduler.tick(now));
  }

  private void endOneGang() {
    if (runningOrder.isEmpty()) {
      return;
    }
    JobId id = runningOrder.get(random.nextInt(runningOrder.size()));
    for (int i = 0; i < running.get(id).tasks(); i++) {
      ending.add(new TaskId(id, attempts.get(id), i));
    }
  }

  private void answer(SchedulerAction action) {
    if (action instanceof SchedulerAction.Reserve reserve) {
      note(scheduler.reserveReply(reserve.task(), true, now));
    } else if (action instanceof SchedulerAction.Start start) {
      note(scheduler.startReply(start.task(), true, now));
    } else if (action instanceof SchedulerAction.Stop stop) {
      boolean saves = stop.mode() == StopMode.CHECKPOINT;
      TaskOutcome outcome = saves ? TaskOutcome.CHECKPOINTED : TaskOutcome.LOST;
      note(scheduler.taskEnded(stop.task(), outcome, now));
    }
  }

  private void note(List<SchedulerAction> actions) {
    for (SchedulerAction action : actions) {
      if (action instanceof SchedulerAction.JobChanged change) {
        changed(change);
      } else {
        if (action instanceof SchedulerAction.Start start) {
          running.put(start.task().job(), start.job());
        }
        unanswered.add(action);
      }
    }
  }

  private void changed(SchedulerAction.JobChanged change) {
    JobId id = change.job();
    if (change.phase() == JobPhase.RUNNING) {
      queued--;
      attempts.put(id, change.attempt());
      runningOrder.add(id);
      runningTasks += running.get(id).tasks();
    } else if (runningOrder.remove(id)) {
      runningTasks -= running.get(id).tasks();
      queued += change.phase().isFinal() ? 0 : 1;
    } else if (change.phase().isFinal()) {
      queued--;
    }
  }

  private JobSpec draw() {
    int tasks = 1;
    while (tasks * 2 <= Math.min(LARGEST_GANG, wantedTasks / 4) && random.nextDouble() < 0.6) {
      tasks *= 2;
    }
    int accelerators = random.nextDouble() < ACCELERATOR_SHARE ? 1 : 0;
    boolean firm = random.nextDouble() < FIRM_SHARE;
    return new JobSpec(
        new JobId("j" + submitted++),
        new CustomerId(String.format("team-%02d", random.nextInt(CUSTOMERS))),
        tasks,
        new Resources(2_500, 9_000, accelerators),
        Adjacency.values()[random.nextInt(3)],
        false,
        false,
        !firm,
        true,
        3_600_000,
        0,
        "run");
  }
}
