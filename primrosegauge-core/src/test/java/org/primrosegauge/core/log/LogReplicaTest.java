package org.primrosegauge.core.log;

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import org.primrosegauge.core.log.LogStep.Kind;

class LogReplicaTest {

  @Property(seed = "20261201", tries = 300)
  void threeVoters(@ForAll long seed, @ForAll("schedules") List<LogStep> schedule) {
    LogSchedule.playUntilConverged(new LogSimulation(3, 1, seed), schedule);
  }

  @Property(seed = "20261202", tries = 150)
  void fiveVoters(@ForAll long seed, @ForAll("schedules") List<LogStep> schedule) {
    LogSchedule.playUntilConverged(new LogSimulation(5, 2, seed), schedule);
  }

  @Provide
  Arbitrary<List<LogStep>> schedules() {
    Arbitrary<Kind> kinds =
        Arbitraries.frequency(
            Tuple.of(30, Kind.RUN),
            Tuple.of(20, Kind.PROPOSE),
            Tuple.of(5, Kind.RACE),
            Tuple.of(5, Kind.CUT_ONE_WAY),
            Tuple.of(4, Kind.CUT_BOTH_WAYS),
            Tuple.of(4, Kind.HEAL),
            Tuple.of(5, Kind.FREEZE),
            Tuple.of(6, Kind.CRASH),
            Tuple.of(2, Kind.POWER_LOSS),
            Tuple.of(12, Kind.RESTART),
            Tuple.of(3, Kind.HAND_OVER),
            Tuple.of(4, Kind.WIPE),
            Tuple.of(4, Kind.ADD_LEARNER),
            Tuple.of(4, Kind.PROMOTE),
            Tuple.of(2, Kind.REMOVE),
            Tuple.of(4, Kind.REPLACE),
            Tuple.of(2, Kind.LOSS));
    Arbitrary<Integer> numbers = Arbitraries.integers().between(0, 99);
    return Combinators.combine(kinds, numbers, numbers, numbers)
        .as(LogStep::new)
        .list()
        .ofMinSize(40)
        .ofMaxSize(160);
  }
}
