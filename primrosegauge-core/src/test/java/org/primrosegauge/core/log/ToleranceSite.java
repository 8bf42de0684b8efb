package org.primrosegauge.core.log;

/** Sites of the tolerance schedules, with the timings of the product. */
enum ToleranceSite {
  /** Four instances, of which one may lose its disk. */
  ONE_OF_FOUR(4, 3, 1, 4_000, 12_000),
  /** Eight instances, of which two may lose their disks. */
  TWO_OF_EIGHT(8, 5, 2, 6_000, 15_000);

  private static final int SEED_INSTANCES = 3;
  private static final int START_MILLIS = 6_500;
  private static final int VOTER_LOSS_MILLIS =
      Integer.getInteger("primrosegauge.tolerance.voterLossMillis", 0);

  final int instances;
  final int targetVoters;
  final int disks;
  final int catchUpMillis;
  final int recoveryMillis;

  ToleranceSite(int instances, int targetVoters, int disks, int catchUpMillis, int recoveryMillis) {
    this.instances = instances;
    this.targetVoters = targetVoters;
    this.disks = disks;
    this.catchUpMillis = catchUpMillis;
    this.recoveryMillis = recoveryMillis;
  }

  /** Starts the instances and gives them the time until they count. */
  LogSimulation start(int seed) {
    int loss = VOTER_LOSS_MILLIS == 0 ? catchUpMillis / 4 : VOTER_LOSS_MILLIS;
    LogSimulation.Timings timings = new LogSimulation.Timings(200, 700, 1_300, targetVoters, loss);
    LogSimulation simulation =
        new LogSimulation(timings, SEED_INSTANCES, instances - SEED_INSTANCES, seed);
    simulation.step(new LogStep(LogStep.Kind.LOSS, 0, 0, 0));
    simulation.runFor(START_MILLIS);
    return simulation;
  }
}
