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

  private final CoreFixture fixture = new CoreFixture();

  /**
   * The ledger held another worker for a run than the one that was told to start it: a later leader
   * would have taken the run for one that never began, and started it again.
   */
  @Test
  void runStartsOnlyOnWorkerOfLedger() {
    List<WorkerInfo> workers = new ArrayList<>();
    fixture.startLeading(1);
    for (int i = 1; i <= 3; i++) {
      workers.add(CoreFixture.worker(i, 1));
      fixture.registerAndPoll(workers.get(i - 1));
    }
    fixture.submit("job", CoreFixture.step(1));
    fixture.commitAll();

    final ScopeCommand.Place first = placement();
    WorkerInfo restarted = find(workers, first);
    fixture.apply(new ScopeCommand.SeeWorker(restartOf(restarted)));
    final ScopeCommand.Place second = placement();
    fixture.apply(first);
    fixture.heartbeat(find(workers, second), true);
    fixture.plan();
    fixture.apply(second);
    fixture.commitAll();

    for (ScopeAction.Start start : fixture.take(ScopeAction.Start.class)) {
      RunId run = start.run();
      assertThat(fixture.ledger.step(run.task().stepKey()).task(0).openWorker())
          .isEqualTo(start.worker());
    }
    assertThat(first.placements().get(0).run()).isEqualTo(second.placements().get(0).run());
  }

  private ScopeCommand.Place placement() {
    fixture.plan();
    return fixture.takeProposals(ScopeCommand.Place.class).get(0);
  }

  private static WorkerInfo find(List<WorkerInfo> workers, ScopeCommand.Place place) {
    return workers.stream()
        .filter(worker -> worker.key().equals(place.placements().get(0).worker()))
        .findFirst()
        .orElseThrow();
  }

  private static WorkerInfo restartOf(WorkerInfo worker) {
    int number = Integer.parseInt(worker.key().target().value().substring(1));
    return CoreFixture.worker(number, worker.key().bornMillis() + 1);
  }
}
