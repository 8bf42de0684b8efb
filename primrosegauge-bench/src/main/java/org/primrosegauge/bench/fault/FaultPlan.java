package org.primrosegauge.bench.fault;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.primrosegauge.bench.fault.FaultStep.Action;

/**
 * Draws the schedule of a fault run from a seed. Faults overlap at most in pairs, so that a quorum
 * of voters can be reached most of the time.
 *
 * @since 0.1
 */
public final class FaultPlan {

  /** Time of the last fault, in milliseconds. */
  public static final long LENGTH_MILLIS = 40_000;

  private static final long FIRST_MILLIS = 5_000;
  private static final int GAP_MILLIS = 3_000;
  private static final int SHORTEST_MILLIS = 1_500;
  private static final int SPREAD_MILLIS = 4_000;

  /** A fault and what ends it; a race ends by itself. */
  private enum Fault {
    KILL(Action.KILL, Action.START),
    WIPE(Action.WIPE, Action.START),
    TERM(Action.TERM, Action.START),
    FREEZE(Action.FREEZE, Action.THAW),
    CUT(Action.CUT, Action.HEAL),
    OUT(Action.OUT, Action.IN),
    RACE(Action.RACE, null);

    final Action begin;
    final Action end;

    Fault(Action begin, Action end) {
      this.begin = begin;
      this.end = end;
    }

    boolean isOfDomain() {
      return this == CUT || this == OUT || this == RACE;
    }
  }

  private FaultPlan() {}

  /**
   * Returns the schedule of a seed.
   *
   * @since 0.1
   */
  public static List<FaultStep> of(long seed) {
    UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    List<FaultStep> steps = new ArrayList<>();
    for (long at = FIRST_MILLIS;
        at < LENGTH_MILLIS;
        at += GAP_MILLIS + random.nextInt(GAP_MILLIS)) {
      Fault fault = Fault.values()[random.nextInt(Fault.values().length)];
      List<String> subjects = fault.isOfDomain() ? FaultSite.DOMAINS : FaultSite.INSTANCES;
      String subject = subjects.get(random.nextInt(subjects.size()));
      long end = at + SHORTEST_MILLIS + random.nextInt(SPREAD_MILLIS);
      steps.add(new FaultStep(at, fault.begin, subject));
      if (fault.end != null) {
        steps.add(new FaultStep(end, fault.end, subject));
      }
    }
    steps.sort(Comparator.comparingLong(FaultStep::atMillis));
    return List.copyOf(steps);
  }
}
