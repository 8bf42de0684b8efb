package org.primrosegauge.standin.scope;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.primrosegauge.core.job.Resources;
import org.primrosegauge.core.scope.PollResult;
import org.primrosegauge.core.scope.PollResult.EndedEntry;
import org.primrosegauge.core.scope.PollResult.RunningEntry;
import org.primrosegauge.core.scope.RunEnd;
import org.primrosegauge.core.scope.RunId;
import org.primrosegauge.core.scope.RunOutcome;
import org.primrosegauge.core.scope.ScopeAction;
import org.primrosegauge.core.scope.StartResult;
import org.primrosegauge.core.scope.StepSpec;
import org.primrosegauge.core.scope.StopResult;
import org.primrosegauge.core.scope.TaskKey;
import org.primrosegauge.core.scope.WorkerHeartbeat;
import org.primrosegauge.core.scope.WorkerInfo;

/**
 * One lifetime of a worker in virtual time: leases on a clock that may be slow, fencing tokens,
 * gangs that wait for their members, checkpoints, and ends that are listed until they are
 * forgotten.
 *
 * <p>Not thread-safe; owned by one {@link EmulatedScope}.
 */
final class EmulatedWorker {

  static final long GANG_TIMEOUT_MILLIS = 3_000;
  static final long CHECKPOINT_MILLIS = 1_000;
  static final long LONGEST_LEASE_MILLIS = 10_000;
  static final int MAX_ENDS_PER_RESPONSE = 500;

  /** Time after which a run fails on a worker that fails all. */
  private static final long FAIL_ALL_MILLIS = 200;

  /** Microseconds of a millisecond. */
  private static final long MICROS = 1_000;

  /** A run that is there. */
  static final class Run {
    final RunId id;
    final StepSpec spec;
    final long workMillis;
    final long failsAfterMillis;
    final long startedMillis;
    private long progressMicros;
    long progressMillis;
    long savedMillis;
    long stopAtMillis = Long.MAX_VALUE;
    String saved;

    Run(
        RunId id,
        StepSpec spec,
        long workMillis,
        long failsAfterMillis,
        long now,
        String checkpoint) {
      this.id = id;
      this.spec = spec;
      this.workMillis = workMillis;
      this.failsAfterMillis = failsAfterMillis;
      this.startedMillis = now;
      this.saved = checkpoint;
      this.progressMillis = checkpoint.isEmpty() ? 0 : Long.parseLong(checkpoint.split("-")[1]);
      this.progressMicros = progressMillis * MICROS;
      this.savedMillis = progressMillis;
    }

    private void advance(long micros) {
      progressMicros += micros;
      progressMillis = progressMicros / MICROS;
    }
  }

  final WorkerInfo info;
  final double clockRate;
  final boolean guards;
  final Map<RunId, Run> runs = new LinkedHashMap<>();
  final List<EndedEntry> ended = new ArrayList<>();
  final Map<TaskKey, Integer> barred = new HashMap<>();
  private final EmulatedScope world;
  long fence;
  long deadline;
  long ends;
  long sequence;
  boolean stalls;
  boolean failsAll;
  boolean rejectsStarts;
  boolean drains;

  /** Until when the worker stays at least once it drains. */
  long drainEndMillis;

  /** How many times as long as usual everything takes here. */
  int slowness = 1;

  EmulatedWorker(EmulatedScope world, WorkerInfo info, double clockRate, boolean guards) {
    this.world = world;
    this.info = info;
    this.clockRate = clockRate;
    this.guards = guards;
  }

  long clock(long now) {
    return (long) ((now - info.key().bornMillis()) * clockRate) + 1;
  }

  Resources used() {
    return runs.values().stream()
        .map(run -> run.spec.task())
        .reduce(Resources.NONE, Resources::plus);
  }

  WorkerHeartbeat status(long now) {
    long remainingMillis = drains ? Math.max(0, drainEndMillis - now) : 0;
    return new WorkerHeartbeat(info, ++sequence, drains, remainingMillis, clock(now));
  }

  // Orders

  StartResult start(ScopeAction.Start order, long now) {
    if (!order.worker().equals(info.key())) {
      return StartResult.OTHER_LIFETIME;
    }
    if (order.term().number() < fence) {
      return StartResult.FENCED;
    }
    fence = order.term().number();
    if (order.deadlineMillis() <= clock(now)) {
      return StartResult.LATE;
    }
    extend(order.deadlineMillis(), now);
    if (runs.containsKey(order.run())) {
      return StartResult.STARTED;
    }
    if (order.run().attempt() <= barred.getOrDefault(order.run().task(), 0)) {
      return StartResult.SUPERSEDED;
    }
    if (rejectsStarts) {
      return StartResult.UNWELL;
    }
    StepSpec spec = world.callers.specOf(order.run().task());
    if (guards && !used().plus(spec.task()).fitsIn(info.capacity())) {
      return StartResult.NO_ROOM;
    }
    Run run =
        new Run(
            order.run(),
            spec,
            world.callers.runMillisOf(order.run().task()),
            failsAfterMillis(order.run()),
            now,
            order.checkpoint());
    runs.put(order.run(), run);
    world.gangs.began(run, this);
    world.checker.began(this, run, order);
    world.observer.began(this, run);
    return StartResult.STARTED;
  }

  /** A worker that fails all fails it soon; a task that always fails does so midway. */
  private long failsAfterMillis(RunId run) {
    if (failsAll) {
      return FAIL_ALL_MILLIS;
    }
    boolean isFailing = world.callers.isFailing(run.task().job());
    return isFailing ? world.callers.runMillisOf(run.task()) / 3 : Long.MAX_VALUE;
  }

  StopResult stop(ScopeAction.Stop order, long now) {
    if (!order.worker().equals(info.key())) {
      return StopResult.OTHER_LIFETIME;
    }
    if (order.term().number() < fence) {
      return StopResult.FENCED;
    }
    fence = order.term().number();
    barred.merge(order.run().task(), order.run().attempt(), Math::max);
    Run run = runs.get(order.run());
    if (run != null) {
      run.stopAtMillis = Math.min(run.stopAtMillis, now + world.stopMillis(run.id));
    }
    return StopResult.STOPPING;
  }

  /** Takes a look; the answer is made when it has waited long enough. */
  boolean admit(ScopeAction.Poll order, long now) {
    if (!order.worker().equals(info.key()) || order.term().number() < fence) {
      return false;
    }
    fence = order.term().number();
    for (EndedEntry entry : ended) {
      if (entry.number() <= order.lastEnd()) {
        world.checker.noted(this, entry);
      }
    }
    ended.removeIf(entry -> entry.number() <= order.lastEnd());
    if (order.deadlineMillis() > 0) {
      extend(order.deadlineMillis(), now);
    }
    return true;
  }

  PollResult report(long now) {
    List<RunningEntry> running = new ArrayList<>();
    for (Run run : runs.values()) {
      int percent = (int) (100 * run.progressMillis / run.workMillis);
      running.add(new RunningEntry(run.id, run.saved, percent));
    }
    boolean isComplete = ended.size() < MAX_ENDS_PER_RESPONSE;
    List<EndedEntry> oldest = ended.subList(0, Math.min(ended.size(), MAX_ENDS_PER_RESPONSE));
    return new PollResult(PollResult.Kind.REPORT, clock(now), running, oldest, isComplete);
  }

  private void extend(long until, long now) {
    deadline = Math.max(deadline, Math.min(until, clock(now) + LONGEST_LEASE_MILLIS));
  }

  // Time

  void advance(long now, long step) {
    if (clock(now) > deadline) {
      for (Run run : List.copyOf(runs.values())) {
        end(run, RunOutcome.LAPSED);
      }
      world.checker.lapsed(this);
      world.observer.endsLost(this);
    }
    for (Run run : List.copyOf(runs.values())) {
      advance(run, now, step);
    }
  }

  private void advance(Run run, long now, long step) {
    if (!runs.containsKey(run.id)) {
      return;
    }
    if (now >= run.stopAtMillis) {
      if (run.spec.checkpoints()) {
        save(run);
      }
      end(run, RunOutcome.STOPPED);
      return;
    }
    boolean isWhole = !run.spec.gang() || world.gangs.isWhole(run);
    if (!isWhole) {
      if (world.gangs.hasMemberEnded(run)) {
        end(run, RunOutcome.BROKEN);
      } else if (now - run.startedMillis > GANG_TIMEOUT_MILLIS && !world.gangs.wasWhole(run)) {
        end(run, RunOutcome.ALONE);
      }
      return;
    }
    if (stalls) {
      return;
    }
    run.advance(step * MICROS / (slowness * world.gangs.distanceFactor(run, info.rack())));
    if (run.spec.checkpoints() && run.progressMillis % CHECKPOINT_MILLIS < step) {
      save(run);
    }
    if (run.progressMillis > run.failsAfterMillis) {
      end(run, RunOutcome.FAILED);
    } else if (run.progressMillis >= run.workMillis) {
      world.gangs.done(run);
    }
  }

  private void save(Run run) {
    run.saved = world.checker.checkpoint(run);
    run.savedMillis = run.progressMillis;
  }

  void end(Run run, RunOutcome outcome) {
    runs.remove(run.id);
    world.gangs.gone(run);
    barred.merge(run.id.task(), run.id.attempt(), Math::max);
    String saved = outcome == RunOutcome.DONE ? "" : run.saved;
    world.meter.ended(run, outcome);
    ended.add(new EndedEntry(++ends, new RunEnd(run.id, outcome, saved)));
    world.checker.ended(this, run, outcome);
    world.observer.ended(this, run, outcome);
  }
}
