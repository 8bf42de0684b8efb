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
class ScopeCoreDueWorkTest {

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
    private boolean stalled;
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
  private List<ScopeAction> pendingActions;
  private long nowMillis;
  private long nextCheckMillis;
  private int jobs;
  private long terms;

  @Property(tries = 100, seed = "20261204", shrinking = ShrinkingMode.OFF)
  void noDueWorkIsMissed(@ForAll @LongRange(min = 1) long seed) {
    setUp(seed);
    for (int i = 0; i < EVENTS; i++) {
      nowMillis += random.nextInt(60);
      applyRandomEvent();
      if (random.nextInt(3) == 0) {
        core.plan(now());
        collect();
        checkPolls();
      } else if (random.nextBoolean()) {
        core.pollWorkers(now());
        collect();
        checkPolls();
      }
      if (random.nextInt(4) == 0) {
        tick();
      }
      checkCounts();
    }
  }

  private void setUp(long seed) {
    random = new Random(seed);
    ledger = new ScopeLedger(60_000);
    state = new ScopeState(ledger, SETTINGS);
    core = new ScopeCore(state);
    workers = new ArrayList<>();
    pendingActions = new ArrayList<>();
    nowMillis = 10_000;
    nextCheckMillis = 0;
    jobs = 0;
    List<QueueSpec> queues = List.of(queue(0), queue(1), queue(2));
    ledger.apply(
        new ScopeCommand.Configure(
            new ScopeConfiguration(new Revision(1), queues, List.of(), 1_000), "text"));
    for (int i = 0; i < WORKERS; i++) {
      workers.add(new Worker());
      restart(i);
    }
    startLeading();
  }

  private static QueueSpec queue(int priority) {
    return new QueueSpec(
        new QueueName("q" + priority), "host", "/" + priority, POOL, priority, 2, 3.0, 0, true);
  }

  private ClockReading now() {
    return new ClockReading(nowMillis, nowMillis);
  }

  // Events

  private void startLeading() {
    pendingActions.clear();
    core.stopLeading();
    core.startLeading(new Term(++terms), now());
    core.pollWorkers(now());
    collect();
  }

  private void applyRandomEvent() {
    Worker worker = workers.get(random.nextInt(WORKERS));
    switch (random.nextInt(32)) {
      case 0 -> restart(workers.indexOf(worker));
      case 1 -> worker.silent = !worker.silent;
      case 2 -> worker.stalled = !worker.stalled;
      case 3 -> worker.drains = !worker.drains;
      case 4 -> core.workerLeft(worker.info.key().target(), now());
      case 5 -> cancel();
      case 6, 7 -> submit();
      case 8 -> end(worker);
      case 9, 10, 11 -> heartbeat(worker);
      case 12 -> switchDomain();
      case 13 -> {
        if (random.nextInt(12) == 0) {
          startLeading();
        }
      }
      default -> deliver();
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
            new WorkerKey(new TargetId("w" + number), nowMillis),
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
      core.handleHeartbeat(
          new WorkerHeartbeat(worker.info, worker.sequence, worker.drains, 2_000, nowMillis),
          now());
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
                nowMillis,
                "payload",
                steps,
                Recurrence.NONE)));
  }

  private void cancel() {
    if (jobs > 0) {
      int recent = Math.max(0, jobs - 1 - random.nextInt(8));
      apply(new ScopeCommand.Cancel(new JobId("job-" + recent), nowMillis));
    }
  }

  private void switchDomain() {
    FailureDomainId domain = new FailureDomainId("d" + random.nextInt(2));
    apply(new ScopeCommand.SwitchDomain(domain, random.nextInt(4) == 0));
  }

  private void apply(ScopeCommand command) {
    ledger.apply(command);
    core.applied(command, now());
  }

  private void collect() {
    pendingActions.addAll(core.takeActions());
    pendingActions.removeIf(action -> action instanceof ScopeAction.Report);
  }

  // Answers

  private void deliver() {
    for (int i = random.nextInt(6); i > 0 && !pendingActions.isEmpty(); i--) {
      deliver(pendingActions.remove(random.nextInt(Math.min(4, pendingActions.size()))));
      collect();
    }
  }

  private void deliver(ScopeAction action) {
    if (action instanceof ScopeAction.Propose propose) {
      if (random.nextInt(4) == 0) {
        core.proposalFailed(propose.command());
      } else {
        apply(propose.command());
      }
    } else if (action instanceof ScopeAction.Start start) {
      StartResult answer = start(start);
      core.handleStartResult(start.run(), answer, clockOf(answer), now());
    } else if (action instanceof ScopeAction.Stop stop) {
      core.handleStopResult(stop.run(), stop(stop), now());
    } else if (action instanceof ScopeAction.Poll look) {
      core.handlePollResult(look.worker(), poll(look), now());
    }
  }

  private long clockOf(StartResult answer) {
    return answer == StartResult.NO_ANSWER ? 0 : nowMillis;
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

  private PollResult poll(ScopeAction.Poll order) {
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
    if (!worker.stalled) {
      worker.running.replaceAll((run, percent) -> Math.min(100, percent + random.nextInt(30)));
    }
    List<PollResult.RunningEntry> running =
        worker.running.entrySet().stream()
            .map(each -> new PollResult.RunningEntry(each.getKey(), "", each.getValue()))
            .toList();
    return new PollResult(PollResult.Kind.REPORT, nowMillis, running, worker.ended);
  }

  // Walks

  private void checkPolls() {
    for (WorkerSession session : state.sessions.values()) {
      long recorded = ledger.worker(session.info.key()).map(WorkerRecord::lastEnd).orElse(0L);
      boolean needsLook =
          !session.confirmed
              || session.pollFailures > 0
              || session.acknowledgedEnd < recorded
              || session.runs.values().stream().anyMatch(RunState::isDispatched);
      boolean isDue = !session.pollInFlight && nowMillis >= session.nextPollMillis && needsLook;
      assertThat(isDue).isFalse();
    }
  }

  private void tick() {
    core.tick(now());
    collect();
    for (WorkerSession session : state.sessions.values()) {
      boolean isLapsed =
          session.pollFailures > 0
              && session.isLeaseExpired(
                  nowMillis, SETTINGS.maxClockDriftPercent(), WorkerPoller.EXPIRY_SLACK_MILLIS);
      boolean isOpen =
          session.runs.values().stream().anyMatch(run -> run.isDispatched() && !run.endProposed);
      assertThat(isLapsed && isOpen).isFalse();
    }
    for (RunState run : state.runs.values()) {
      boolean isUnanswered =
          run.stopRequested
              && run.isDispatched()
              && !run.endProposed
              && !run.stopInFlight
              && run.stopConfirmedMillis == Long.MAX_VALUE;
      assertThat(isUnanswered && nowMillis >= run.nextStopMillis).isFalse();
    }
    if (nowMillis >= nextCheckMillis) {
      nextCheckMillis = nowMillis + RunMonitor.PERIOD_MILLIS;
      checkMonitored();
    }
  }

  private void checkMonitored() {
    for (RunState run : state.runs.values()) {
      boolean isStanding =
          run.spec.gang()
              ? members(run.id.task().stepKey()).allMatch(this::isStalled)
              : isStalled(run);
      assertThat(isStanding).isFalse();
      assertThat(isOrphaned(run) && !run.stopRequested && !run.endProposed).isFalse();
    }
  }

  private Stream<RunState> members(StepKey step) {
    return state.runs.values().stream().filter(run -> run.id.task().stepKey().equals(step));
  }

  private boolean isStalled(RunState run) {
    return run.isRunning()
        && !run.stopRequested
        && !run.endProposed
        && !run.spec.longRunning()
        && run.percent < 100
        && run.worker.pollFailures == 0
        && nowMillis - run.progressMillis > SETTINGS.stallTimeoutMillis();
  }

  private boolean isOrphaned(RunState run) {
    StepRecord step = ledger.step(run.id.task().stepKey());
    boolean isDone = step == null || step.isDone();
    if (isDone && run.spec.gang()) {
      return false;
    }
    boolean isBroken =
        run.spec.gang() && run.isDispatched() && step.openTasks() < step.tasks().size();
    return run.job.status().isFinal() || isBroken;
  }

  private void checkCounts() {
    for (WorkerSession session : state.sessions.values()) {
      assertThat(session.hasDispatchedRuns())
          .isEqualTo(session.runs.values().stream().anyMatch(RunState::isDispatched));
      Map<StepKey, Long> tasks =
          session.runs.keySet().stream()
              .collect(Collectors.groupingBy(run -> run.task().stepKey(), Collectors.counting()));
      tasks.forEach((step, count) -> assertThat(session.tasksOf(step)).isEqualTo(count));
      assertThat(session.tasksOf(new StepKey(new JobId("none"), 0, 0))).isEqualTo(0);
    }
    assertThat(state.unresponsive)
        .containsExactlyElementsIn(
            state.sessions.values().stream().filter(each -> each.pollFailures > 0).toList());
    assertThat(state.runs.values()).containsAtLeastElementsIn(state.stopping);
  }
}
