package org.primrosegauge.node.scope;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.HostPort;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.Revision;
import org.primrosegauge.core.ServiceId;
import org.primrosegauge.core.StorageException;
import org.primrosegauge.core.TargetId;
import org.primrosegauge.core.job.Resources;
import org.primrosegauge.core.log.LogAction;
import org.primrosegauge.core.log.LogEntry;
import org.primrosegauge.core.log.RecoveredLog;
import org.primrosegauge.core.log.cfg.LogSettings;
import org.primrosegauge.core.scope.PollResult;
import org.primrosegauge.core.scope.QueueName;
import org.primrosegauge.core.scope.QueueSpec;
import org.primrosegauge.core.scope.Recurrence;
import org.primrosegauge.core.scope.ScopeAction;
import org.primrosegauge.core.scope.ScopeConfiguration;
import org.primrosegauge.core.scope.ScopeLedger;
import org.primrosegauge.core.scope.ScopeScheduler;
import org.primrosegauge.core.scope.StepSpec;
import org.primrosegauge.core.scope.WorkerHeartbeat;
import org.primrosegauge.core.scope.WorkerInfo;
import org.primrosegauge.core.scope.WorkerKey;
import org.primrosegauge.core.scope.cfg.ScopeSettings;
import org.primrosegauge.node.log.LogStorage;
import org.primrosegauge.node.log.MemoryStorage;
import org.primrosegauge.node.scope.ScopeMessage.Answer;
import org.primrosegauge.node.scope.ScopeMessage.Question;
import reactor.core.publisher.Mono;

/**
 * Requests that wait at a leader whose thread is blocked. The clock can also be advanced manually.
 */
class LoadSheddingTest {

  private static final InstanceId SELF = new InstanceId("a");
  private static final ServiceId POOL = new ServiceId("pool");
  private static final Duration TIMEOUT = Duration.ofSeconds(30);
  private static final Duration CALLER_WAIT = Duration.ofMillis(2_000);
  private static final long EXCESSIVE_WAIT_MILLIS = LoadShedding.MAX_WAIT_MILLIS + 1;
  private static final long TOLERATED_WAIT_MILLIS = 1_000;
  private static final long POLL_INTERVAL_MILLIS = 200;
  private static final CallerAddress JOB = new CallerAddress("host", "/q/00aa", null);
  private static final CallerAddress OTHER_JOB = new CallerAddress("host", "/q/00bb", null);
  private static final CallerAddress THIRD_JOB = new CallerAddress("host", "/q/00cc", null);
  private static final Answer SHED =
      new ScopeMessage.Refused(ScopeRefusal.OVERLOADED, LoadShedding.RETRY_AFTER_MILLIS);

  private final AtomicLong skippedMillis = new AtomicLong();
  private final CountDownLatch workerPolled = new CountDownLatch(1);
  private final Gate threadGate = new Gate();
  private final Gate diskGate = new Gate();
  private ScopeReplica replica;

  /** Blocks the first thread that arrives after it is closed, until it is opened. */
  private static final class Gate {
    private final AtomicReference<CountDownLatch> closed = new AtomicReference<>();
    private volatile CountDownLatch reached = new CountDownLatch(1);

    void close() {
      reached = new CountDownLatch(1);
      closed.set(new CountDownLatch(1));
    }

    void open() {
      CountDownLatch latch = closed.getAndSet(null);
      if (latch != null) {
        latch.countDown();
      }
    }

    void pass() {
      CountDownLatch latch = closed.get();
      if (latch != null) {
        reached.countDown();
        await(latch);
      }
    }

    void awaitArrival() {
      await(reached);
    }

    private static void await(CountDownLatch latch) {
      try {
        assertThat(latch.await(TIMEOUT.toSeconds(), TimeUnit.SECONDS)).isTrue();
      } catch (InterruptedException e) {
        throw new IllegalStateException(e);
      }
    }
  }

  /** Storage whose sync can be blocked. */
  private final class GatedStorage implements LogStorage {
    private final MemoryStorage memory = new MemoryStorage();

    @Override
    public RecoveredLog recover() {
      return memory.recover();
    }

    @Override
    public void write(LogAction.Persist write) {
      memory.write(write);
    }

    @Override
    public void sync() {
      diskGate.pass();
    }

    @Override
    public void close() {
      memory.close();
    }
  }

  /** Worker that never responds, and whose polls can block the leader's thread. */
  private final class GatedWorker extends UnresponsiveWorkers {

    @Override
    public Mono<PollResult> poll(ScopeAction.Poll request) {
      workerPolled.countDown();
      threadGate.pass();
      return super.poll(request);
    }
  }

  private long now() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime()) + skippedMillis.get();
  }

  @BeforeEach
  void start() throws StorageException {
    ScopeLedger ledger = new ScopeLedger(60_000);
    replica =
        new ScopeReplica(
            settings(),
            ledger,
            new ScopeScheduler(ledger, ScopeSettings.DEFAULT),
            now(),
            TestDependencies.singleInstance(
                SELF,
                new GatedStorage(),
                this::now,
                new GatedWorker(),
                content -> configuration()));
    replica.start();
    configure();
    sendHeartbeat();
  }

  @AfterEach
  void stop() {
    threadGate.open();
    diskGate.open();
    replica.close();
  }

  private static LogSettings settings() {
    return ScopeInstance.logSettings(SELF, List.of(SELF), 1, 4_000);
  }

  private static ScopeConfiguration configuration() {
    QueueSpec queue = new QueueSpec(new QueueName("q"), "host", "/q/", POOL, 1, 2, 2.0, 100, true);
    return new ScopeConfiguration(new Revision(3), List.of(queue), List.of(), 1_000);
  }

  private void configure() {
    Question configure = new ScopeMessage.Configure(configuration().revision(), "text");
    Answer response = replica.answer(configure).block(TIMEOUT);
    while (!(response instanceof ScopeMessage.Done)) {
      Thread.onSpinWait();
      response = replica.answer(configure).block(TIMEOUT);
    }
  }

  private void sendHeartbeat() {
    WorkerInfo info =
        new WorkerInfo(
            new WorkerKey(new TargetId("w1"), 1),
            new HostPort("127.0.0.1", 9),
            POOL,
            new FailureDomainId("d1"),
            new Resources(8_000, 8_000, 8),
            List.of("a", "r1"),
            "r1");
    replica
        .answer(new ScopeMessage.Heartbeat(new WorkerHeartbeat(info, 1, false, 0, 5)))
        .block(TIMEOUT);
    // The worker is committed only after the response, so storage must not be blocked before that.
    Gate.await(workerPolled);
  }

  private static Question submission() {
    return submission(JOB, "payload");
  }

  private static Question submission(CallerAddress address, String payload) {
    StepSpec step = StepSpec.builder(1).task(new Resources(1_000, 100, 1)).build();
    return new ScopeMessage.Submit(
        address, new JobSubmission(payload, List.of(step), Recurrence.NONE));
  }

  /** Sends a request that waits at the blocked leader for longer than the maximum. */
  private Answer responseAfterExcessiveWait(Question request) {
    return responseAfter(request, EXCESSIVE_WAIT_MILLIS);
  }

  private Answer responseAfter(Question request, long waitMillis) {
    threadGate.close();
    skippedMillis.addAndGet(POLL_INTERVAL_MILLIS);
    threadGate.awaitArrival();
    CompletableFuture<Answer> response = replica.answer(request).toFuture();
    skippedMillis.addAndGet(waitMillis);
    threadGate.open();
    return response.orTimeout(TIMEOUT.toSeconds(), TimeUnit.SECONDS).join();
  }

  /**
   * Guards against refusing calls whose callers still wait: a leader that has just started leading
   * is overloaded for most of a second.
   */
  @Test
  void callWithinMaximumWaitIsExecuted() {
    assertThat(responseAfter(submission(), TOLERATED_WAIT_MILLIS))
        .isEqualTo(new ScopeMessage.Done());
    assertThat(responseAfter(new ScopeMessage.AskState(JOB), TOLERATED_WAIT_MILLIS))
        .isInstanceOf(ScopeMessage.State.class);
  }

  /** A submission whose caller has timed out wastes capacity of the log and of the workers. */
  @Test
  void submissionPastMaximumWaitIsRefusedAndNotExecuted() {
    assertThat(responseAfterExcessiveWait(submission())).isEqualTo(SHED);
    assertThat(replica.answer(new ScopeMessage.AskState(JOB)).block(TIMEOUT))
        .isEqualTo(new ScopeMessage.Refused(ScopeRefusal.UNKNOWN_JOB));
  }

  /** A job that an earlier attempt has put into the ledger must not be reported as not executed. */
  @Test
  void retryOfAcceptedJobIsNotRefusedAfterExcessiveWait() {
    assertThat(replica.answer(submission()).block(TIMEOUT)).isEqualTo(new ScopeMessage.Done());
    assertThat(responseAfterExcessiveWait(submission())).isEqualTo(new ScopeMessage.Done());
  }

  /** A job that the log is about to commit must not be reported as not executed. */
  @Test
  void retryOfProposedJobIsNotRefusedAfterExcessiveWait() {
    diskGate.close();
    final CompletableFuture<Answer> first = replica.answer(submission()).toFuture();
    diskGate.awaitArrival();
    assertThat(responseAfterExcessiveWait(submission())).isEqualTo(new ScopeMessage.Unknown());
    diskGate.open();
    assertThat(first.orTimeout(TIMEOUT.toSeconds(), TimeUnit.SECONDS).join())
        .isEqualTo(new ScopeMessage.Done());
  }

  /** A job that the log refused was not executed, and must not count as a proposal in flight. */
  @Test
  void jobRefusedByOverloadedLogIsNotConsideredProposed() {
    diskGate.close();
    // Two jobs that an entry of the log has room for use up what may be uncommitted.
    String large = "x".repeat(settings().maxUncommittedBytes() / 2);
    final CompletableFuture<Answer> first = replica.answer(submission(OTHER_JOB, large)).toFuture();
    final CompletableFuture<Answer> second =
        replica.answer(submission(THIRD_JOB, large)).toFuture();
    diskGate.awaitArrival();
    assertThat(replica.answer(submission()).block(TIMEOUT))
        .isInstanceOf(ScopeMessage.NotLeader.class);
    assertThat(responseAfterExcessiveWait(submission())).isEqualTo(SHED);
    diskGate.open();
    assertThat(first.orTimeout(TIMEOUT.toSeconds(), TimeUnit.SECONDS).join())
        .isEqualTo(new ScopeMessage.Done());
    assertThat(second.orTimeout(TIMEOUT.toSeconds(), TimeUnit.SECONDS).join())
        .isEqualTo(new ScopeMessage.Done());
  }

  /** Guards against an entry that no follower can receive, which stopped the log for ever. */
  @Test
  void jobLargerThanAnEntryOfTheLogIsRefusedAndNotExecuted() {
    String large = "x".repeat(LogEntry.MAX_COMMAND_BYTES);
    assertThat(replica.answer(submission(JOB, large)).block(TIMEOUT))
        .isEqualTo(new ScopeMessage.Refused(ScopeRefusal.TOO_LARGE));
    assertThat(replica.answer(new ScopeMessage.AskState(JOB)).block(TIMEOUT))
        .isEqualTo(new ScopeMessage.Refused(ScopeRefusal.UNKNOWN_JOB));
    assertThat(replica.answer(submission(OTHER_JOB, "small")).block(TIMEOUT))
        .isEqualTo(new ScopeMessage.Done());
  }

  /** Reads and cancels whose callers have timed out delay requests that are still awaited. */
  @Test
  void readAndCancelPastMaximumWaitAreRefused() {
    assertThat(replica.answer(submission()).block(TIMEOUT)).isEqualTo(new ScopeMessage.Done());
    assertThat(responseAfterExcessiveWait(new ScopeMessage.AskState(JOB))).isEqualTo(SHED);
    assertThat(responseAfterExcessiveWait(new ScopeMessage.Cancel(JOB))).isEqualTo(SHED);
  }

  /** Dropping a heartbeat would make its worker unresponsive, so that it is given no new work. */
  @Test
  void workerMessagesAndOperatorOrdersAreHandledAfterExcessiveWait() {
    Question request = new ScopeMessage.SwitchDomain(new FailureDomainId("d1"), true);
    assertThat(responseAfterExcessiveWait(request)).isEqualTo(new ScopeMessage.Done());
    assertThat(responseAfterExcessiveWait(new ScopeMessage.WorkerLeft(new TargetId("w2"))))
        .isEqualTo(new ScopeMessage.Done());
  }

  /** A leader whose thread is blocked must not leave the callers of its own instance waiting. */
  @Test
  void callerAtLeaderInstanceGetsResponseWhileLeaderThreadIsBlocked() {
    ScopeClient client =
        new ScopeClient(SELF, (to, request, wait) -> Mono.never(), this::now, List.of());
    client.attach(replica);
    client.tick(now());
    assertThat(client.leader()).isEqualTo(SELF);
    threadGate.close();
    skippedMillis.addAndGet(POLL_INTERVAL_MILLIS);
    threadGate.awaitArrival();
    Answer response = client.ask(submission(), CALLER_WAIT).block(TIMEOUT);
    threadGate.open();
    assertThat(response).isInstanceOf(ScopeMessage.Unknown.class);
  }
}
