package org.primrosegauge.core.log;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.primrosegauge.core.log.LogStep.Kind;

/** One schedule on a site, with an account of what is impaired and which disks count as lost. */
final class ToleranceRun {

  private static final int SLICE_MILLIS = 50;
  private static final int SERVICE_MILLIS = 2_000;

  private final ToleranceSite site;
  private final LogSimulation simulation;
  private final List<String> trace = new ArrayList<>();
  private final Set<Integer> down = new HashSet<>();
  private final Set<Integer> cut = new HashSet<>();
  private final long[] frozenUntil;

  /** Instances that lost their disks, with the time for which they could have caught up. */
  private final TreeMap<Integer, Long> lost = new TreeMap<>();

  private boolean lossy;
  private long now;
  private String roles = "";

  private ToleranceRun(ToleranceSite site, int seed) {
    this.site = site;
    this.simulation = site.start(seed);
    this.frozenUntil = new long[site.instances];
  }

  /** Plays a schedule; returns what failed and the trace, or null if nothing failed. */
  static String failure(ToleranceSite site, int seed, List<LogStep> schedule) {
    ToleranceRun run = new ToleranceRun(site, seed);
    try {
      run.advance(0);
      schedule.forEach(run::play);
      String failure = run.settle();
      return failure == null ? null : failure + run.trace + run.simulation.describe();
    } catch (AssertionError | RuntimeException e) {
      return e + " " + run.trace + run.simulation.describe();
    }
  }

  private void play(LogStep step) {
    int node = step.node() % site.instances;
    int other = step.other() % site.instances;
    switch (step.kind()) {
      case RUN -> advance(10L * step.amount());
      case WIPE -> loseDisk(node);
      case CRASH -> down.add(node);
      case POWER_LOSS -> allInstances().forEach(down::add);
      case RESTART -> down.remove(node);
      case FREEZE -> frozenUntil[node] = Math.max(frozenUntil[node], now + 20L * step.amount());
      case CUT_ONE_WAY -> cut.addAll(List.of(node, other));
      case CUT_BOTH_WAYS -> cut.add(node);
      case HEAL -> cut.clear();
      case LOSS -> lossy = step.amount() % 40 > 0;
      default -> {}
    }
    if (step.kind() != Kind.RUN && step.kind() != Kind.WIPE) {
      record(step.kind() + " " + node + (step.kind() == Kind.CUT_ONE_WAY ? " to " + other : ""));
      simulation.step(step);
    }
  }

  private List<Integer> allInstances() {
    return IntStream.range(0, site.instances).boxed().toList();
  }

  private void loseDisk(int node) {
    if (!lost.containsKey(node) && lost.size() < site.disks) {
      record("DISK LOST " + node);
      lost.put(node, 0L);
      down.add(node);
      simulation.loseDisk(node);
    }
  }

  private void record(String event) {
    trace.add("\n" + now + " ms " + event);
  }

  /** Lets time pass while a client proposes at the leader. */
  private void advance(long millis) {
    for (long at = 0; at < millis; at += SLICE_MILLIS) {
      simulation.proposeAtLeader();
      simulation.runFor(SLICE_MILLIS);
      now += SLICE_MILLIS;
      noteCatchUp();
    }
    String seen = "leaders " + simulation.leaders() + " voters " + simulation.voters();
    if (!seen.equals(roles)) {
      roles = seen;
      record(seen);
    }
  }

  /**
   * Notes the time for which each lost instance was well while all others that hold the log were,
   * too, or a leader served nevertheless.
   */
  private void noteCatchUp() {
    boolean othersWell =
        !lossy && allInstances().stream().allMatch(each -> lost.containsKey(each) || isWell(each));
    boolean canServe = othersWell || simulation.hasServingLeader();
    lost.replaceAll((each, since) -> canServe && isWell(each) ? since + SLICE_MILLIS : 0);
    if (lost.values().removeIf(since -> since >= site.catchUpMillis)) {
      record("caught up, still lost " + lost.keySet());
    }
  }

  private boolean isWell(int node) {
    return !down.contains(node) && !cut.contains(node) && frozenUntil[node] <= now;
  }

  /** Ends all faults; returns what is wrong after the time for the recovery. */
  private String settle() {
    record("heal");
    simulation.heal();
    for (long at = 0; at < site.recoveryMillis && !simulation.hasServingLeader(); at += 50) {
      simulation.runFor(SLICE_MILLIS);
      now += SLICE_MILLIS;
    }
    if (!simulation.hasServingLeader()) {
      return "no leader after the recovery time";
    }
    record("serves");
    long before = simulation.acknowledged();
    advance(SERVICE_MILLIS);
    return simulation.acknowledged() > before ? null : "nothing is acknowledged after recovery";
  }
}
