package org.primrosegauge.core.log;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Eight instances with disks, of which two may lose theirs at once; such an instance counts as lost
 * until some seconds after it is back, and only then may another lose its disk.
 */
class LogDiskLossTest {

  private static final int INSTANCES = 8;
  private static final int SEED_INSTANCES = 3;
  private static final int TARGET_VOTERS = 5;
  private static final LogSimulation.Timings TIMINGS =
      new LogSimulation.Timings(200, 700, 1_300, TARGET_VOTERS, 8_000);
  private static final int START_MILLIS = 11_500;
  private static final int CATCH_UP_MILLIS = 6_000;
  private static final int RECOVERY_MILLIS = 15_000;
  private static final int RUNS = 25;

  private static LogSimulation startSimulation(long seed) {
    LogSimulation simulation =
        new LogSimulation(TIMINGS, SEED_INSTANCES, INSTANCES - SEED_INSTANCES, seed);
    run(simulation, START_MILLIS);
    return simulation;
  }

  /** Lets time pass under load. */
  private static void run(LogSimulation simulation, long millis) {
    for (long at = 0; at < millis; at += 50) {
      simulation.proposeAtLeader();
      simulation.runFor(50);
    }
  }

  private static void assertRecovers(LogSimulation simulation) {
    long waited = 0;
    while (!simulation.hasServingLeader() && waited < RECOVERY_MILLIS) {
      simulation.runFor(50);
      waited += 50;
    }
    assertWithMessage("served: " + simulation.describe())
        .that(simulation.hasServingLeader())
        .isTrue();
    long before = simulation.acknowledged();
    run(simulation, 2_000);
    assertThat(simulation.acknowledged()).isGreaterThan(before);
  }

  private static int pickInstance(LogSimulation simulation, SplittableRandom random, int not) {
    List<Integer> voters = simulation.voters();
    int chosen;
    do {
      chosen =
          voters.isEmpty() || random.nextInt(4) == 0
              ? random.nextInt(INSTANCES)
              : voters.get(random.nextInt(voters.size()));
    } while (chosen == not);
    return chosen;
  }

  /** Guards against a quorum of two disks that two losses take. */
  @Test
  void logHasItsVotersSoonAfterTheStart() {
    for (int seed = 0; seed < RUNS; seed++) {
      LogSimulation simulation =
          new LogSimulation(TIMINGS, SEED_INSTANCES, INSTANCES - SEED_INSTANCES, seed);
      run(simulation, CATCH_UP_MILLIS);
      assertWithMessage("seed %s", seed).that(simulation.voters()).hasSize(TARGET_VOTERS);
    }
  }

  /** Guards against a log that never starts because one seed was down when it should have. */
  @ParameterizedTest
  @ValueSource(ints = {0, 1, 2})
  void logStartsThoughOneSeedIsKilledBeforeIt(int killed) {
    for (int seed = 0; seed < RUNS; seed++) {
      LogSimulation simulation =
          new LogSimulation(TIMINGS, SEED_INSTANCES, INSTANCES - SEED_INSTANCES, seed);
      simulation.runFor(30L * seed);
      simulation.crashAt(killed);
      simulation.runFor(1_000);
      simulation.startAt(killed);
      assertRecovers(simulation);
    }
  }

  /** The same for a seed whose disk is lost too. */
  @ParameterizedTest
  @ValueSource(ints = {0, 1, 2})
  void logStartsThoughOneSeedLosesItsDiskBeforeIt(int lost) {
    for (int seed = 0; seed < RUNS; seed++) {
      LogSimulation simulation =
          new LogSimulation(TIMINGS, SEED_INSTANCES, INSTANCES - SEED_INSTANCES, seed);
      simulation.runFor(60L * seed);
      simulation.loseDisk(lost);
      simulation.runFor(1_000);
      simulation.startAt(lost);
      assertRecovers(simulation);
    }
  }

  /** Guards against the loss of what two disks held when all others lose power with them. */
  @Test
  void twoLostDisksAndPowerLossOfAllOthersLoseNothing() {
    for (int seed = 0; seed < RUNS; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      LogSimulation simulation = startSimulation(seed);
      int first = pickInstance(simulation, random, -1);
      int second = pickInstance(simulation, random, first);
      simulation.loseDisk(first);
      simulation.loseDisk(second);
      for (int number = 0; number < INSTANCES; number++) {
        simulation.crashAt(number);
      }
      simulation.runFor(500 + random.nextInt(2_000));
      for (int number = 0; number < INSTANCES; number++) {
        simulation.startAt(number);
        simulation.runFor(random.nextInt(100));
      }
      assertRecovers(simulation);
    }
  }

  /** Guards against a lost voter that is not replaced before the next may be lost. */
  @Test
  void lossesFollowEachOtherAsSoonAsTheFormerHaveCaughtUp() {
    for (int seed = 0; seed < RUNS; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      LogSimulation simulation = startSimulation(seed);
      for (int round = 0; round < 4; round++) {
        int first = pickInstance(simulation, random, -1);
        int second = pickInstance(simulation, random, first);
        simulation.loseDisk(first);
        run(simulation, random.nextInt(2) * random.nextInt(2_000));
        simulation.loseDisk(second);
        maybeFreezeLeader(simulation, random);
        run(simulation, 100 + random.nextInt(3_000));
        simulation.startAt(first);
        simulation.startAt(second);
        run(simulation, CATCH_UP_MILLIS);
      }
      simulation.heal();
      assertRecovers(simulation);
    }
  }

  /** Guards against an admission that a change of leader in between undoes or forgets. */
  @Test
  void replacementIsDoneThoughLeadersChangeMeanwhile() {
    for (int seed = 0; seed < RUNS; seed++) {
      SplittableRandom random = new SplittableRandom(1_000 + seed);
      LogSimulation simulation = startSimulation(seed);
      int first = pickInstance(simulation, random, -1);
      int second = pickInstance(simulation, random, first);
      simulation.loseDisk(first);
      simulation.loseDisk(second);
      run(simulation, 100);
      simulation.startAt(first);
      simulation.startAt(second);
      run(simulation, random.nextInt(1_500));
      // All processes are killed and come back within a second; their disks stay.
      for (int number = 0; number < INSTANCES; number++) {
        simulation.crashAt(number);
      }
      simulation.runFor(900);
      simulation.heal();
      run(simulation, CATCH_UP_MILLIS);
      int third = pickInstance(simulation, random, -1);
      int fourth = pickInstance(simulation, random, third);
      simulation.loseDisk(third);
      simulation.loseDisk(fourth);
      run(simulation, 200);
      simulation.heal();
      assertRecovers(simulation);
    }
  }

  /** Guards against a planned stop of the leader that costs as long as the loss of it. */
  @Test
  void anotherLeadsSoonAfterTheLeaderHandedOver() {
    int late = 0;
    for (int seed = 0; seed < RUNS; seed++) {
      LogSimulation simulation = startSimulation(seed);
      int former = simulation.leaders().get(0);
      simulation.transferLeadershipAt(former);
      simulation.runFor(100);
      simulation.crashAt(former);
      simulation.runFor(TIMINGS.electionMinMillis() - 100);
      late += simulation.hasServingLeader() ? 0 : 1;
      assertRecovers(simulation);
    }
    // Messages get lost, and two candidates may meet.
    assertWithMessage("runs of %s", RUNS).that(late).isAtMost(RUNS / 5);
  }

  /** Freezes the leader for a moment, or nothing. */
  private static void maybeFreezeLeader(LogSimulation simulation, SplittableRandom random) {
    List<Integer> leaders = simulation.leaders();
    if (!leaders.isEmpty() && random.nextBoolean()) {
      simulation.freezeAt(leaders.get(0), 500 + random.nextInt(1_500));
    }
  }
}
