package org.primrosegauge.core.log;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a log that loses its quorum for good because one disk is lost while the
 * replacement of a voter that is only silent is under way.
 */
class SilentVoterTest {

  private static final int SEED_INSTANCES = 3;
  private static final int INSTANCES = 4;
  private static final int CATCH_UP_MILLIS = 4_000;
  private static final int VOTER_LOSS_MILLIS = CATCH_UP_MILLIS / 4;
  private static final int START_MILLIS = 11_500;
  private static final int SILENCE_MILLIS = 2_000;

  /** Span after the loss of contact in which the disk is lost, in milliseconds. */
  private static final int REPLACEMENT_MILLIS = 600;

  private static final int OUTAGE_MILLIS = 1_000;
  private static final int RECOVERY_MILLIS = 12_000;
  private static final int RUNS = 100;

  /** Whose disk is lost. */
  enum Victim {
    LEADER,
    FOLLOWER
  }

  /** What happens to the instances that keep their disks. */
  enum Others {
    RUN,
    LOSE_POWER
  }

  @ParameterizedTest
  @CsvSource({"LEADER, RUN", "LEADER, LOSE_POWER", "FOLLOWER, RUN", "FOLLOWER, LOSE_POWER"})
  void diskLostWhileSilentVoterIsReplacedLeavesQuorum(Victim victim, Others others) {
    for (int seed = 0; seed < RUNS; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      LogSimulation simulation = startSimulation(seed);
      int leader = simulation.leaders().get(0);
      List<Integer> followers =
          simulation.voters().stream().filter(voter -> voter != leader).toList();
      final int silent = followers.get(random.nextInt(followers.size()));
      final int otherFollower = followers.stream().filter(voter -> voter != silent).findAny().get();
      simulation.freezeAt(silent, SILENCE_MILLIS);
      simulation.runProposing(VOTER_LOSS_MILLIS);
      runProposingEach(simulation, random.nextInt(REPLACEMENT_MILLIS));
      int lost = victim == Victim.LEADER ? leader : otherFollower;
      simulation.loseDisk(lost);
      if (others == Others.LOSE_POWER) {
        crashAll(simulation);
      }
      simulation.runFor(OUTAGE_MILLIS);
      simulation.heal();
      assertServes(simulation, seed);
    }
  }

  private static LogSimulation startSimulation(int seed) {
    LogSimulation.Timings timings =
        new LogSimulation.Timings(200, 700, 1_300, SEED_INSTANCES, VOTER_LOSS_MILLIS);
    LogSimulation simulation =
        new LogSimulation(timings, SEED_INSTANCES, INSTANCES - SEED_INSTANCES, seed);
    simulation.loseNoMessages();
    simulation.runProposing(START_MILLIS);
    return simulation;
  }

  /** Lets time pass while a command is proposed each millisecond. */
  private static void runProposingEach(LogSimulation simulation, int millis) {
    for (int at = 0; at < millis; at++) {
      simulation.proposeAtLeader();
      simulation.runFor(1);
    }
  }

  private static void crashAll(LogSimulation simulation) {
    for (int number = 0; number < INSTANCES; number++) {
      simulation.crashAt(number);
    }
  }

  private static void assertServes(LogSimulation simulation, int seed) {
    for (long at = 0; at < RECOVERY_MILLIS && !simulation.hasServingLeader(); at += 50) {
      simulation.runFor(50);
    }
    assertWithMessage("seed %s: %s", seed, simulation.describe())
        .that(simulation.hasServingLeader())
        .isTrue();
  }
}
