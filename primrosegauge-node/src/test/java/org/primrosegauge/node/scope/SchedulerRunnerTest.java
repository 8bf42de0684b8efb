package org.primrosegauge.node.scope;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.HostPort;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.ServiceId;
import org.primrosegauge.core.TargetId;
import org.primrosegauge.core.Term;
import org.primrosegauge.core.job.Resources;
import org.primrosegauge.core.scope.PollResult;
import org.primrosegauge.core.scope.ScopeAction;
import org.primrosegauge.core.scope.ScopeCommand;
import org.primrosegauge.core.scope.ScopeLedger;
import org.primrosegauge.core.scope.ScopeResult;
import org.primrosegauge.core.scope.ScopeScheduler;
import org.primrosegauge.core.scope.WorkerInfo;
import org.primrosegauge.core.scope.WorkerKey;
import org.primrosegauge.core.scope.cfg.ScopeSettings;
import org.primrosegauge.node.log.MemoryStorage;
import org.primrosegauge.node.log.PolymorphicCodec;
import reactor.core.publisher.Mono;

/** A leader whose process is suspended while it sends requests to workers. */
class SchedulerRunnerTest {

  private static final long LEASE_END_MILLIS = 1_000;
  private static final int WORKERS = 4;

  /** Leadership whose lease expires at a fixed time. */
  private final class ExpiringLease implements Leadership {

    @Override
    public boolean isLeader() {
      return true;
    }

    @Override
    public boolean isAuthoritative(long nowMillis) {
      return !isApplying && holdsLease(nowMillis);
    }

    @Override
    public boolean holdsLease(long nowMillis) {
      return !isReplaying && nowMillis < LEASE_END_MILLIS;
    }

    @Override
    public Term term() {
      return new Term(1);
    }

    @Override
    public Mono<ScopeResult> propose(byte[] command) {
      return Mono.never();
    }

    @Override
    public boolean execute(Runnable task) {
      enqueued.add(task);
      return true;
    }
  }

  /** Simulates that the process is suspended after each request to a worker. */
  private final class SuspendingWorkerClient extends UnresponsiveWorkers {

    @Override
    public Mono<PollResult> poll(ScopeAction.Poll request) {
      polled.add(request.worker());
      now += suspendedMillis;
      return Mono.never();
    }
  }

  private final List<Runnable> enqueued = new ArrayList<>();
  private final List<WorkerKey> polled = new ArrayList<>();
  private boolean isApplying;
  private boolean isReplaying;
  private long suspendedMillis;
  private long now;
  private SchedulerRunner runner;

  @BeforeEach
  void create() {
    ScopeLedger ledger = new ScopeLedger(60_000);
    for (int i = 0; i < WORKERS; i++) {
      ledger.apply(new ScopeCommand.SeeWorker(worker(i)));
    }
    runner =
        new SchedulerRunner(
            new ScopeScheduler(ledger, ScopeSettings.DEFAULT),
            new ExpiringLease(),
            new PolymorphicCodec(ScopeCommand.class),
            TestDependencies.singleInstance(
                new InstanceId("a"), new MemoryStorage(), () -> now, new SuspendingWorkerClient()));
  }

  private static WorkerInfo worker(int number) {
    return new WorkerInfo(
        new WorkerKey(new TargetId("w" + number), 1),
        new HostPort("10.0.0.1", 80 + number),
        new ServiceId("pool"),
        new FailureDomainId("d"),
        new Resources(8_000, 8_000, 8),
        List.of(),
        "");
  }

  @Test
  void requestsAreSentUnderValidLease() {
    runner.startLeadingIfDue();
    runner.planOrPoll(now);
    assertThat(polled).hasSize(WORKERS);
  }

  /**
   * Guards against requests that are not sent, and count as unanswered, because the log has
   * committed further entries together with the one that caused them. Found on lfda-bulletin-grown
   * scale-1.
   */
  @Test
  void requestsAreSentWhileCommittedEntriesAwaitApplication() {
    runner.startLeadingIfDue();
    isApplying = true;
    runner.planOrPoll(now);
    assertThat(polled).hasSize(WORKERS);
  }

  /** Guards against requests that are sent after the lease expired during a suspension. */
  @Test
  void requestsDecidedBeforeSuspensionAreNotSentAfterLeaseExpiry() {
    suspendedMillis = 2 * LEASE_END_MILLIS;
    runner.startLeadingIfDue();
    runner.planOrPoll(now);
    assertThat(polled).hasSize(1);
    assertThat(enqueued).hasSize(WORKERS - 1);
  }

  /**
   * Guards against a scheduler that starts leading before the placements of earlier terms are
   * applied and so does not know them. Found on swancoast-cut trouble-1.
   */
  @Test
  void schedulerStartsLeadingOnceEarlierTermsAreApplied() {
    isReplaying = true;
    runner.startLeadingIfDue();
    assertThat(runner.isLeading()).isFalse();
    isReplaying = false;
    runner.startLeadingIfDue();
    assertThat(runner.isLeading()).isTrue();
  }
}
