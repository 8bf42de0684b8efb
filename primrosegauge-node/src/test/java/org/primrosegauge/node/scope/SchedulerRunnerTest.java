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

/** A leader whose process stands still while it sends orders. */
class SchedulerRunnerTest {

  private static final long LEASE_END_MILLIS = 1_000;
  private static final int WORKERS = 4;

  /** Leads until a time. */
  private final class ExpiringLease implements Leadership {

    @Override
    public boolean isLeader() {
      return true;
    }

    @Override
    public boolean isAuthoritative(long nowMillis) {
      return !isApplying && hasLease(nowMillis);
    }

    @Override
    public boolean hasLease(long nowMillis) {
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

  /** The process is suspended after an order has left. */
  private final class SuspendingWorkerClient extends UnresponsiveWorkers {

    @Override
    public Mono<PollResult> poll(ScopeAction.Poll order) {
      polled.add(order.worker());
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
   * Found on lfda-bulletin-grown scale-1: orders that followed from an entry did not leave when the
   * log had committed further ones with it, and counted as unanswered.
   */
  @Test
  void requestsAreSentWhileCommittedEntriesAwaitApplication() {
    runner.startLeadingIfDue();
    isApplying = true;
    runner.planOrPoll(now);
    assertThat(polled).hasSize(WORKERS);
  }

  /** Orders that were decided before went out after the lease had run out meanwhile. */
  @Test
  void requestsDecidedBeforeSuspensionAreNotSentAfterLeaseExpiry() {
    suspendedMillis = 2 * LEASE_END_MILLIS;
    runner.startLeadingIfDue();
    runner.planOrPoll(now);
    assertThat(polled).hasSize(1);
    assertThat(enqueued).hasSize(WORKERS - 1);
  }

  /** Found on swancoast-cut trouble-1: placements applied after it took office were not known. */
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
