package org.primrosegauge.core.log;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against LOST of review/1: two of three instances were gone for good, one after the other,
 * each with a successor that was up for the time after which the next one may be lost. The first
 * successor was not yet a voter when the second instance was lost, so no leader could be elected
 * again.
 */
class LogReplacementTest {

  private static final int SEED_INSTANCES = 3;
  private static final int CATCH_UP_MILLIS = 4_000;
  private static final int START_MILLIS = 11_500;
  private static final int RECOVERY_MILLIS = 12_000;
  private static final int RUNS = 25;

  /** Which voter is lost next. */
  enum Victim {
    LEADER,
    FOLLOWER,
    ANY
  }

  @ParameterizedTest
  @CsvSource({
    "LEADER, 4000, 0",
    "LEADER, 4000, 200",
    "LEADER, 4000, 1000",
    "FOLLOWER, 4000, 0",
    "FOLLOWER, 4000, 200",
    "FOLLOWER, 4000, 1000",
    "ANY, 4000, 500",
    "ANY, 6000, 500"
  })
  void logSurvivesInstancesThatAreReplacedInTurn(
      Victim victim, int catchUpMillis, int successorDelayMillis) {
    int rounds = 4;
    for (int seed = 0; seed < RUNS; seed++) {
      LogSimulation simulation = startSimulation(rounds, catchUpMillis, seed);
      SplittableRandom random = new SplittableRandom(seed);
      for (int round = 0; round < rounds; round++) {
        assertServes(simulation, seed, round);
        simulation.loseDisk(pick(simulation, victim, random));
        simulation.runProposing(successorDelayMillis);
        simulation.startAt(SEED_INSTANCES + round);
        simulation.runProposing(catchUpMillis);
      }
      assertServes(simulation, seed, rounds);
    }
  }

  /**
   * Guards against an instance that is excluded for good: it was down while it was removed, so it
   * did not know that it had to be admitted again.
   */
  @ParameterizedTest
  @EnumSource(Victim.class)
  void instanceThatWasReplacedWhileItWasDownIsAdmittedAgain(Victim victim) {
    for (int seed = 0; seed < RUNS; seed++) {
      LogSimulation simulation =
          new LogSimulation(timings(CATCH_UP_MILLIS), SEED_INSTANCES, 1, seed);
      simulation.loseNoMessages();
      simulation.runProposing(START_MILLIS);
      int down = pick(simulation, victim, new SplittableRandom(seed));
      simulation.crashAt(down);
      simulation.runProposing(2 * CATCH_UP_MILLIS);
      assertWithMessage("seed %s", seed).that(simulation.voters()).doesNotContain(down);
      simulation.startAt(down);
      simulation.runProposing(CATCH_UP_MILLIS);
      assertWithMessage("seed %s", seed).that(simulation.members()).contains(down);
      assertServes(simulation, seed, 0);
    }
  }

  private static LogSimulation.Timings timings(int catchUpMillis) {
    return new LogSimulation.Timings(200, 700, 1_300, SEED_INSTANCES, catchUpMillis / 4);
  }

  /** Starts the seed instances; the successors are down, with empty disks. */
  private static LogSimulation startSimulation(int successors, int catchUpMillis, int seed) {
    LogSimulation simulation =
        new LogSimulation(timings(catchUpMillis), SEED_INSTANCES, successors, seed);
    simulation.loseNoMessages();
    for (int number = 0; number < successors; number++) {
      simulation.loseDisk(SEED_INSTANCES + number);
    }
    simulation.runProposing(START_MILLIS);
    return simulation;
  }

  private static int pick(LogSimulation simulation, Victim victim, SplittableRandom random) {
    int leader = simulation.leaders().get(0);
    List<Integer> voters =
        simulation.voters().stream()
            .filter(voter -> victim != Victim.LEADER || voter == leader)
            .filter(voter -> victim != Victim.FOLLOWER || voter != leader)
            .toList();
    return voters.get(random.nextInt(voters.size()));
  }

  /** Waits for a leader, which may just have been lost, and checks that it serves. */
  private static void assertServes(LogSimulation simulation, int seed, int round) {
    for (long at = 0; at < RECOVERY_MILLIS && !simulation.hasServingLeader(); at += 50) {
      simulation.runFor(50);
    }
    assertWithMessage("seed %s, round %s: %s", seed, round, simulation.describe())
        .that(simulation.hasServingLeader())
        .isTrue();
  }
}
