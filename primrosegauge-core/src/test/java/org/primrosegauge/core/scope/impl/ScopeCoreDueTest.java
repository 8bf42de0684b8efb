package org.primrosegauge.core.scope.impl;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.LongRange;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.HostPort;
import org.primrosegauge.core.JobId;
import org.primrosegauge.core.Revision;
import org.primrosegauge.core.ServiceId;
import org.primrosegauge.core.TargetId;
import org.primrosegauge.core.Term;
import org.primrosegauge.core.job.Resources;
import org.primrosegauge.core.scope.ClockReading;
import org.primrosegauge.core.scope.PollResult;
import org.primrosegauge.core.scope.QueueName;
import org.primrosegauge.core.scope.QueueSpec;
import org.primrosegauge.core.scope.Recurrence;
import org.primrosegauge.core.scope.RunEnd;
import org.primrosegauge.core.scope.RunId;
import org.primrosegauge.core.scope.RunOutcome;
import org.primrosegauge.core.scope.ScopeAction;
import org.primrosegauge.core.scope.ScopeCommand;
import org.primrosegauge.core.scope.ScopeConfiguration;
import org.primrosegauge.core.scope.ScopeJob;
import org.primrosegauge.core.scope.ScopeLedger;
import org.primrosegauge.core.scope.StartResult;
import org.primrosegauge.core.scope.StepKey;
import org.primrosegauge.core.scope.StepRecord;
import org.primrosegauge.core.scope.StepSpec;
import org.primrosegauge.core.scope.StopResult;
import org.primrosegauge.core.scope.WorkerHeartbeat;
import org.primrosegauge.core.scope.WorkerInfo;
import org.primrosegauge.core.scope.WorkerKey;
import org.primrosegauge.core.scope.WorkerRecord;
import org.primrosegauge.core.scope.cfg.ScopeSettings;

/**
 * What is due against a walk over all sessions and runs, after random events with proposals that
 * fail, answers that get lost, and workers that fall silent, stand still or come back empty.
 */
class ScopeCoreDueTest {

  private static final ServiceId POOL = new ServiceId("pool");
  private static final Resources WORKER = new Resources(8_000, 8_000, 4);
  private static final ScopeSettings SETTINGS = ScopeSettings.DEFAULT;
  private static final int WORKERS = 6;
  private static final int EVENTS = 1_000;

  /** A worker, as far as its answers go. */
  private static final class Worker {

    private WorkerInfo info;
    private long sequence;
    private boolean silent;
    private boolean stands;
    private boolean drains;
    private final Map<RunId, Integer> running = new LinkedHashMap<>();
    private final List<PollResult.EndedEntry> ended = new ArrayList<>();
    private long ends;

    void end(RunId run, RunOutcome outcome) {
      if (running.remove(run) != null) {
        ended.add(new PollResult.EndedEntry(++ends, new RunEnd(run, outcome, "")));
      }
    }
  }

  private ScopeLedger ledger;
  private ScopeState state;
  private ScopeCore core;
  private Random random;
  private List<Worker> workers;
  private List<ScopeAction> waiting;
  private long now;
  private long nextWatchMillis;
  private int jobs;
  private long terms;

  @Property(tries = 100, seed = "20261204", shrinking = ShrinkingMode.OFF)
  void nothingThatIsDueIsMissed(@ForAll @LongRange(min = 1) long seed) {
    begin(seed);
    for (int i = 0; i < EVENTS; i++) {
      now += random.nextInt(60);
      act();
      if (random.nextInt(3) == 0) {
        core.plan(present());
        collect();
        checkLooks();
      } else if (random.nextBoolean()) {
        core.look(present());
        collect();
        checkLooks();
      }
      if (random.nextInt(4) == 0) {
        tick();
      }
      checkCounts();
    }
  }

  private void begin(long seed) {
    random = new Random(seed);
    ledger = new ScopeLedger(60_000);
    state = new ScopeState(ledger, SETTINGS);
    core = new ScopeCore(state);
    workers = new ArrayList<>();
    waiting = new ArrayList<>();
    now = 10_000;
    nextWatchMillis = 0;
    jobs = 0;
    List<QueueSpec> queues = List.of(queue(0), queue(1), queue(2));
    ledger.apply(
        new ScopeCommand.Configure(
            new ScopeConfiguration(new Revision(1), queues, List.of(), 1_000), "text"));
    for (int i = 0; i < WORKERS; i++) {
      workers.add(new Worker());
      restart(i);
    }
    takeOffice();
  }

  private static QueueSpec queue(int priority) {
    return new QueueSpec(
        new QueueName("q" + priority), "host", "/" + priority, POOL, priority, 2, 3.0, 0, true);
  }

  private ClockReading present() {
    return new ClockReading(now, now);
  }

  // Events

  private void takeOffice() {
    waiting.clear();
    core.leaveOffice();
    core.takeOffice(new Term(++terms), present());
    core.look(present());
    collect();
  }

  private void act() {
    Worker worker = workers.get(random.nextInt(WORKERS));
    switch (random.nextInt(32)) {
      case 0 -> restart(workers.indexOf(worker));
      case 1 -> worker.silent = !worker.silent;
      case 2 -> worker.stands = !worker.stands;
      case 3 -> worker.drains = !worker.drains;
      case 4 -> core.workerLeft(worker.info.key().target(), present());
      case 5 -> cancel();
      case 6, 7 -> submit();
      case 8 -> end(worker);
      case 9, 10, 11 -> heartbeat(worker);
      case 12 -> switchDomain();
      case 13 -> {
        if (random.nextInt(12) == 0) {
          takeOffice();
        }
      }
      default -> answer();
    }
    collect();
  }

  private void restart(int number) {
    Worker worker = workers.get(number);
    worker.running.clear();
    worker.ended.clear();
    worker.ends = 0;
    worker.sequence = 0;
    worker.drains = false;
    worker.info =
        new WorkerInfo(
            new WorkerKey(new TargetId("w" + number), now),
            new HostPort("10.0.0." + number, 80),
            POOL,
            new FailureDomainId("d" + number % 2),
            WORKER,
            List.of(),
            "r" + number % 2);
  }

  private void heartbeat(Worker worker) {
    if (!worker.silent) {
      worker.sequence++;
      core.workerReported(
          new WorkerHeartbeat(worker.info, worker.sequence, worker.drains, 2_000, now), present());
    }
  }

  private void end(Worker worker) {
    for (RunId run : List.copyOf(worker.running.keySet())) {
      boolean isDone = random.nextInt(4) > 0;
      worker.end(run, isDone ? RunOutcome.DONE : RunOutcome.FAILED);
    }
  }

  private void submit() {
    List<StepSpec> steps = new ArrayList<>();
    for (int i = 0; i <= random.nextInt(2); i++) {
      steps.add(
          StepSpec.builder(1 + random.nextInt(3))
              .task(new Resources(1_000, 1_000, random.nextInt(3)))
              .estimatedMillis(2_000)
              .gang(random.nextInt(3) == 0)
              .checkpoints(random.nextBoolean())
              .longRunning(random.nextInt(10) == 0)
              .build());
    }
    apply(
        new ScopeCommand.Submit(
            new ScopeJob(
                new JobId("job-" + jobs++),
                new QueueName("q" + random.nextInt(3)),
                POOL,
                null,
                2,
                now,
                "payload",
                steps,
                Recurrence.NONE)));
  }

  private void cancel() {
    if (jobs > 0) {
      int recent = Math.max(0, jobs - 1 - random.nextInt(8));
      apply(new ScopeCommand.Cancel(new JobId("job-" + recent), now));
    }
  }

  private void switchDomain() {
    FailureDomainId domain = new FailureDomainId("d" + random.nextInt(2));
    apply(new ScopeCommand.SwitchDomain(domain, random.nextInt(4) == 0));
  }

  private void apply(ScopeCommand command) {
    ledger.apply(command);
    core.applied(command, present());
  }

  private void collect() {
    waiting.addAll(core.takeActions());
    waiting.removeIf(action -> action instanceof ScopeAction.Report);
  }

  // Answers

  private void answer() {
    for (int i = random.nextInt(6); i > 0 && !waiting.isEmpty(); i--) {
      answer(waiting.remove(random.nextInt(Math.min(4, waiting.size()))));
      collect();
    }
  }

  private void answer(ScopeAction action) {
    if (action instanceof ScopeAction.Propose propose) {
      if (random.nextInt(4) == 0) {
        core.proposalFailed(propose.command());
      } else {
        apply(propose.command());
      }
    } else if (action instanceof ScopeAction.Start start) {
      StartResult answer = start(start);
      core.startAnswered(start.run(), answer, answered(answer), present());
    } else if (action instanceof ScopeAction.Stop stop) {
      core.stopAnswered(stop.run(), stop(stop), present());
    } else if (action instanceof ScopeAction.Poll look) {
      core.lookAnswered(look.worker(), look(look), present());
    }
  }

  private long answered(StartResult answer) {
    return answer == StartResult.NO_ANSWER ? 0 : now;
  }

  private Worker find(WorkerKey key) {
    return workers.stream().filter(each -> each.info.key().equals(key)).findFirst().orElse(null);
  }

  private StartResult start(ScopeAction.Start order) {
    Worker worker = find(order.worker());
    if (worker == null) {
      return random.nextBoolean() ? StartResult.OTHER_LIFETIME : StartResult.NO_ANSWER;
    }
    if (worker.silent) {
      return StartResult.NO_ANSWER;
    }
    StartResult[] rare = {
      StartResult.SUPERSEDED, StartResult.FENCED, StartResult.NO_ROOM, StartResult.UNWELL
    };
    if (random.nextInt(10) == 0) {
      return rare[random.nextInt(rare.length)];
    }
    worker.running.putIfAbsent(order.run(), 0);
    return random.nextInt(8) == 0 ? StartResult.NO_ANSWER : StartResult.STARTED;
  }

  private StopResult stop(ScopeAction.Stop order) {
    Worker worker = find(order.worker());
    if (worker == null) {
      return random.nextBoolean() ? StopResult.OTHER_LIFETIME : StopResult.NO_ANSWER;
    }
    if (worker.silent || random.nextInt(5) == 0) {
      return StopResult.NO_ANSWER;
    }
    worker.end(order.run(), RunOutcome.STOPPED);
    return StopResult.STOPPING;
  }

  private PollResult look(ScopeAction.Poll order) {
    Worker worker = find(order.worker());
    if (worker == null) {
      boolean isKnown = random.nextBoolean();
      return PollResult.withoutReport(
          isKnown ? PollResult.Kind.OTHER_LIFETIME : PollResult.Kind.NO_ANSWER);
    }
    if (worker.silent) {
      boolean refuses = random.nextInt(4) == 0;
      return PollResult.withoutReport(
          refuses ? PollResult.Kind.REFUSED : PollResult.Kind.NO_ANSWER);
    }
    worker.ended.removeIf(entry -> entry.number() <= order.lastEnd());
    if (!worker.stands) {
      worker.running.replaceAll((run, percent) -> Math.min(100, percent + random.nextInt(30)));
    }
    List<PollResult.RunningEntry> running =
        worker.running.entrySet().stream()
            .map(each -> new PollResult.RunningEntry(each.getKey(), "", each.getValue()))
            .toList();
    return new PollResult(PollResult.Kind.REPORT, now, running, worker.ended);
  }

  // Walks

  private void checkLooks() {
    for (WorkerSession session : state.sessions.values()) {
      long recorded = ledger.worker(session.info.key()).map(WorkerRecord::lastEnd).orElse(0L);
      boolean needsLook =
          !session.confirmed
              || session.lookFailures > 0
              || session.toldEnd < recorded
              || session.runs.values().stream().anyMatch(RunControl::isOrdered);
      boolean isDue = !session.lookInFlight && now >= session.nextLookMillis && needsLook;
      assertThat(isDue).isFalse();
    }
  }

  private void tick() {
    core.tick(present());
    collect();
    for (WorkerSession session : state.sessions.values()) {
      boolean isLapsed =
          session.lookFailures > 0
              && session.hasLapsed(
                  now, SETTINGS.maxClockDriftPercent(), WorkerLooks.LAPSE_SLACK_MILLIS);
      boolean isOpen =
          session.runs.values().stream().anyMatch(run -> run.isOrdered() && !run.endProposed);
      assertThat(isLapsed && isOpen).isFalse();
    }
    for (RunControl run : state.runs.values()) {
      boolean isUnanswered =
          run.stopWanted
              && run.isOrdered()
              && !run.endProposed
              && !run.stopInFlight
              && run.barredMillis == Long.MAX_VALUE;
      assertThat(isUnanswered && now >= run.nextStopMillis).isFalse();
    }
    if (now >= nextWatchMillis) {
      nextWatchMillis = now + RunWatch.PERIOD_MILLIS;
      checkWatched();
    }
  }

  private void checkWatched() {
    for (RunControl run : state.runs.values()) {
      boolean isStanding =
          run.spec.gang()
              ? members(run.id.task().stepKey()).allMatch(this::isStalled)
              : isStalled(run);
      assertThat(isStanding).isFalse();
      assertThat(isStray(run) && !run.stopWanted && !run.endProposed).isFalse();
    }
  }

  private Stream<RunControl> members(StepKey step) {
    return state.runs.values().stream().filter(run -> run.id.task().stepKey().equals(step));
  }

  private boolean isStalled(RunControl run) {
    return run.isRunning()
        && !run.stopWanted
        && !run.endProposed
        && !run.spec.longRunning()
        && run.percent < 100
        && run.worker.lookFailures == 0
        && now - run.progressMillis > SETTINGS.stallTimeoutMillis();
  }

  private boolean isStray(RunControl run) {
    StepRecord step = ledger.step(run.id.task().stepKey());
    boolean isDone = step == null || step.isDone();
    if (isDone && run.spec.gang()) {
      return false;
    }
    boolean isBroken = run.spec.gang() && run.isOrdered() && step.openTasks() < step.tasks().size();
    return run.job.status().isFinal() || isBroken;
  }

  private void checkCounts() {
    for (WorkerSession session : state.sessions.values()) {
      assertThat(session.hasOrderedRuns())
          .isEqualTo(session.runs.values().stream().anyMatch(RunControl::isOrdered));
      Map<StepKey, Long> tasks =
          session.runs.keySet().stream()
              .collect(Collectors.groupingBy(run -> run.task().stepKey(), Collectors.counting()));
      tasks.forEach((step, count) -> assertThat(session.tasksOf(step)).isEqualTo(count));
      assertThat(session.tasksOf(new StepKey(new JobId("none"), 0, 0))).isEqualTo(0);
    }
    assertThat(state.failing)
        .containsExactlyElementsIn(
            state.sessions.values().stream().filter(each -> each.lookFailures > 0).toList());
    assertThat(state.runs.values()).containsAtLeastElementsIn(state.stopping);
  }
}
