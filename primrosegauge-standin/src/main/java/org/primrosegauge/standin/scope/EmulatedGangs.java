package org.primrosegauge.standin.scope;

import java.util.HashMap;
import java.util.Map;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.primrosegauge.core.scope.RunId;
import org.primrosegauge.core.scope.RunOutcome;
import org.primrosegauge.core.scope.StepKey;
import org.primrosegauge.core.scope.TaskKey;

/**
 * What the members of a gang know of each other: whether all are there, whether one has ended, and
 * how far apart they are.
 *
 * <p>Not thread-safe; owned by one {@link EmulatedScope}.
 */
final class EmulatedGangs {

  private final EmulatedScope scope;
  private final Map<StepKey, Integer> wholeAttempt = new HashMap<>();

  /** Runs that are there, by step, with their workers. */
  private final Map<StepKey, Map<RunId, EmulatedWorker>> there = new HashMap<>();

  EmulatedGangs(EmulatedScope scope) {
    this.scope = scope;
  }

  /** Notes that a run is there. */
  void began(EmulatedWorker.Run run, EmulatedWorker worker) {
    there.computeIfAbsent(run.id.task().stepKey(), step -> new HashMap<>()).put(run.id, worker);
  }

  /** Notes that a run is there no more. */
  void gone(EmulatedWorker.Run run) {
    there.computeIfPresent(
        run.id.task().stepKey(),
        (step, runs) -> {
          runs.remove(run.id);
          return runs.isEmpty() ? null : runs;
        });
  }

  /** Tells whether all members of a run's gang are there now, and remembers it. */
  boolean isWhole(EmulatedWorker.Run run) {
    boolean isWhole = members(run).allMatch(this::isThere);
    if (isWhole) {
      wholeAttempt.put(run.id.task().stepKey(), run.id.attempt());
    }
    return isWhole;
  }

  /** Tells whether all members of a run's gang were there at one time. */
  boolean wasWhole(EmulatedWorker.Run run) {
    return wholeAttempt.getOrDefault(run.id.task().stepKey(), 0) == run.id.attempt();
  }

  boolean hasMemberEnded(EmulatedWorker.Run run) {
    return members(run).anyMatch(scope.checker::hasEnded);
  }

  /** Ends a run as done, with all members of its gang. */
  void done(EmulatedWorker.Run run) {
    members(run)
        .forEach(
            id -> {
              EmulatedWorker worker = runsOf(id.task().stepKey()).get(id);
              if (worker != null) {
                worker.end(worker.runs.get(id), RunOutcome.DONE);
              }
            });
  }

  /** Returns how many times as long a run takes for where it and its gang run. */
  int distanceFactor(EmulatedWorker.Run run, String rack) {
    boolean isFar = !run.spec.dataRack().isEmpty() && !run.spec.dataRack().equals(rack);
    boolean isSpread = run.spec.gang() && run.spec.rackLocal() && hasMemberElsewhere(run, rack);
    return isFar || isSpread ? scope.fleet().distanceFactor() : 1;
  }

  private boolean hasMemberElsewhere(EmulatedWorker.Run run, String rack) {
    return runsOf(run.id.task().stepKey()).values().stream()
        .anyMatch(worker -> !worker.info.rack().equals(rack));
  }

  private boolean isThere(RunId id) {
    return runsOf(id.task().stepKey()).containsKey(id);
  }

  private Map<RunId, EmulatedWorker> runsOf(StepKey step) {
    return there.getOrDefault(step, Map.of());
  }

  /** Returns the runs of a gang's members, or the run alone where it is no gang. */
  private static Stream<RunId> members(EmulatedWorker.Run run) {
    if (!run.spec.gang()) {
      return Stream.of(run.id);
    }
    StepKey step = run.id.task().stepKey();
    return IntStream.range(0, run.spec.count())
        .mapToObj(step::task)
        .map((TaskKey task) -> new RunId(task, run.id.attempt()));
  }
}
