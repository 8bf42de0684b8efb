package org.primrosegauge.core.scope.impl;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.primrosegauge.core.HostPort;
import org.primrosegauge.core.JobId;
import org.primrosegauge.core.Revision;
import org.primrosegauge.core.ServiceId;
import org.primrosegauge.core.scope.PendingWork;
import org.primrosegauge.core.scope.QueueName;
import org.primrosegauge.core.scope.QueueSpec;
import org.primrosegauge.core.scope.RunId;
import org.primrosegauge.core.scope.ScopeAction;
import org.primrosegauge.core.scope.ScopeCommand;
import org.primrosegauge.core.scope.ScopeConfiguration;
import org.primrosegauge.core.scope.ScopeSnapshot;
import org.primrosegauge.core.scope.StartResult;
import org.primrosegauge.core.scope.WorkerInfo;
import org.primrosegauge.core.scope.WorkerKey;

/**
 * Guards against LOST: a job kept the service that its queue had when it was accepted. Once the
 * queue had moved to another service and the former workers had left, it was never started again.
 */
class MovedQueueTest {

  private static final ServiceId FORMER = CoreFixture.POOL;
  private static final ServiceId NEXT = new ServiceId("next");
  private static final QueueName QUEUE = new QueueName("q");
  private static final WorkerInfo FORMER_WORKER = CoreFixture.worker(1, 1);
  private static final WorkerInfo NEXT_WORKER = workerOfNextService();

  private final CoreFixture fixture = new CoreFixture();
  private int revision;

  private static WorkerInfo workerOfNextService() {
    WorkerInfo like = CoreFixture.worker(2, 1);
    return new WorkerInfo(
        like.key(),
        new HostPort("10.0.0.2", 80),
        NEXT,
        like.domain(),
        like.capacity(),
        like.labels(),
        like.rack());
  }

  private static ScopeConfiguration configuration(int revision, List<QueueSpec> queues) {
    return new ScopeConfiguration(new Revision(revision), queues, List.of(), 1_000);
  }

  private void sendQueueTo(ServiceId pool) {
    QueueSpec queue = new QueueSpec(QUEUE, "host", "/q/", pool, 1, 3, 3.0, 1_000, true);
    configure(List.of(queue));
  }

  private void configure(List<QueueSpec> queues) {
    fixture.apply(new ScopeCommand.Configure(configuration(++revision, queues), "text"));
  }

  private void start() {
    fixture.startLeading(1);
    fixture.registerAndPoll(FORMER_WORKER);
    fixture.registerAndPoll(NEXT_WORKER);
    sendQueueTo(FORMER);
  }

  private List<WorkerKey> workersOfNextStarts() {
    List<WorkerKey> workers = new ArrayList<>();
    fixture.plan();
    fixture.commitAll();
    for (ScopeAction.Start start : fixture.take(ScopeAction.Start.class)) {
      workers.add(start.worker());
      fixture.core.handleStartResult(
          start.run(), StartResult.STARTED, fixture.nowMillis, fixture.now());
    }
    return workers;
  }

  @Test
  void waitingTasksStartOnTheServiceOfTheConfigurationInForce() {
    start();
    fixture.submit("job", CoreFixture.step(2));
    sendQueueTo(NEXT);
    assertThat(workersOfNextStarts()).containsExactly(NEXT_WORKER.key(), NEXT_WORKER.key());
  }

  @Test
  void tasksOfLostWorkerStartOnTheServiceOfTheConfigurationInForce() {
    start();
    fixture.submit("job", CoreFixture.step(1));
    assertThat(workersOfNextStarts()).containsExactly(FORMER_WORKER.key());
    sendQueueTo(NEXT);
    fixture.apply(new ScopeCommand.ForgetWorker(FORMER_WORKER.key()));
    assertThat(workersOfNextStarts()).containsExactly(NEXT_WORKER.key());
  }

  @Test
  void runsOnTheFormerServiceGoOn() {
    start();
    fixture.submit("job", CoreFixture.step(1));
    workersOfNextStarts();
    final RunId run =
        fixture.ledger.worker(FORMER_WORKER.key()).orElseThrow().openRuns().iterator().next();
    sendQueueTo(NEXT);
    assertThat(workersOfNextStarts()).isEmpty();
    assertThat(fixture.take(ScopeAction.Stop.class)).isEmpty();
    assertThat(fixture.ledger.isOpen(run)).isTrue();
  }

  /** The submission was authorized before the configuration was applied. */
  @Test
  void jobThatIsAcceptedRightAfterTheMoveIsStarted() {
    start();
    sendQueueTo(NEXT);
    fixture.submit("job", CoreFixture.step(1));
    assertThat(workersOfNextStarts()).containsExactly(NEXT_WORKER.key());
  }

  /** The latest service of a queue that is not configured any more holds for its jobs. */
  @Test
  void jobOfRemovedQueueStaysWithTheLatestService() {
    start();
    fixture.submit("job", CoreFixture.step(1));
    sendQueueTo(NEXT);
    configure(List.of());
    assertThat(workersOfNextStarts()).containsExactly(NEXT_WORKER.key());
  }

  @Test
  void movedJobIsFoundInSnapshot() {
    start();
    fixture.submit("job", CoreFixture.step(1));
    sendQueueTo(NEXT);
    configure(List.of());
    ScopeSnapshot snapshot = fixture.ledger.snapshot();
    fixture.core.stopLeading();
    fixture.ledger.restore(snapshot);
    assertThat(fixture.ledger.job(new JobId("job")).orElseThrow().job().pool()).isEqualTo(NEXT);
  }

  @Test
  void pendingWorkMovesAlong() {
    start();
    fixture.submit("job", CoreFixture.step(2));
    final PendingWork before = fixture.ledger.pendingWork(FORMER, 1);
    sendQueueTo(NEXT);
    assertThat(fixture.ledger.pendingWork(FORMER, 1)).isEqualTo(PendingWork.NONE);
    assertThat(fixture.ledger.pendingWork(NEXT, 1)).isEqualTo(before);
  }
}
