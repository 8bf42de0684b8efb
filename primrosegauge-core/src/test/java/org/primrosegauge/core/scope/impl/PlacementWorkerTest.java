package org.primrosegauge.core.scope.impl;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.primrosegauge.core.scope.RunId;
import org.primrosegauge.core.scope.ScopeAction;
import org.primrosegauge.core.scope.ScopeCommand;
import org.primrosegauge.core.scope.WorkerInfo;

/** Placements of one run on different workers that are in the log at the same time. */
class PlacementWorkerTest {

  private final CoreWorld world = new CoreWorld();

  /**
   * The ledger held another worker for a run than the one that was told to start it: a later leader
   * would have taken the run for one that never began, and started it again.
   */
  @Test
  void runStartsOnlyWhereTheLedgerHasIt() {
    List<WorkerInfo> workers = new ArrayList<>();
    world.takeOffice(1);
    for (int i = 1; i <= 3; i++) {
      workers.add(CoreWorld.worker(i, 1));
      world.meet(workers.get(i - 1));
    }
    world.submit("job", CoreWorld.step(1));
    world.commitAll();

    final ScopeCommand.Place first = placement();
    WorkerInfo restarted = find(workers, first);
    world.apply(new ScopeCommand.SeeWorker(restartOf(restarted)));
    final ScopeCommand.Place second = placement();
    world.apply(first);
    world.beat(find(workers, second), true);
    world.plan();
    world.apply(second);
    world.commitAll();

    for (ScopeAction.Start start : world.take(ScopeAction.Start.class)) {
      RunId run = start.run();
      assertThat(world.ledger.step(run.task().stepKey()).task(0).openWorker())
          .isEqualTo(start.worker());
    }
    assertThat(first.placements().get(0).run()).isEqualTo(second.placements().get(0).run());
  }

  private ScopeCommand.Place placement() {
    world.plan();
    return world.takeProposals(ScopeCommand.Place.class).get(0);
  }

  private static WorkerInfo find(List<WorkerInfo> workers, ScopeCommand.Place place) {
    return workers.stream()
        .filter(worker -> worker.key().equals(place.placements().get(0).worker()))
        .findFirst()
        .orElseThrow();
  }

  private static WorkerInfo restartOf(WorkerInfo worker) {
    int number = Integer.parseInt(worker.key().target().value().substring(1));
    return CoreWorld.worker(number, worker.key().bornMillis() + 1);
  }
}
