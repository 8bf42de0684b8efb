package org.primrosegauge.core.log;

import org.junit.jupiter.api.Test;

/**
 * Guards against a leader that answers from an older state when its machine wakes from a
 * suspension, which its clock does not count: its lease seems valid, although another leader has
 * acknowledged more. The simulation checks each read.
 */
class LogSuspensionTest {

  private static final LogSimulation.Timings TIMINGS =
      new LogSimulation.Timings(200, 700, 1_300, 3, 1_000);
  private static final int START_MILLIS = 6_500;
  private static final int SUSPENSION_MILLIS = 4_000;
  private static final int RUNS = 10;

  @Test
  void leaderThatWakesReadsAllThatIsAcknowledged() {
    for (int seed = 0; seed < RUNS; seed++) {
      LogSimulation simulation = new LogSimulation(TIMINGS, 3, 1, seed);
      simulation.loseNoMessages();
      simulation.runProposing(START_MILLIS);
      simulation.suspendAt(simulation.leaders().get(0), SUSPENSION_MILLIS);
      simulation.runProposing(2 * SUSPENSION_MILLIS);
    }
  }
}
