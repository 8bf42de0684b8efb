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

/** Questions that wait at a leader whose thread stands still. The clock moves by hand as well. */
class StaleCallTest {

  private static final InstanceId SELF = new InstanceId("a");
  private static final ServiceId POOL = new ServiceId("pool");
  private static final Duration PATIENCE = Duration.ofSeconds(30);
  private static final Duration CALLER_WAIT = Duration.ofMillis(2_000);
  private static final long TOO_LONG_MILLIS = CallWait.MOST_MILLIS + 1;
  private static final long BEHIND_MILLIS = 1_000;
  private static final long LOOK_PAUSE_MILLIS = 200;
  private static final CallerAddress JOB = new CallerAddress("host", "/q/00aa", null);
  private static final CallerAddress OTHER_JOB = new CallerAddress("host", "/q/00bb", null);
  private static final Answer NOT_RUN =
      new ScopeMessage.Refused(ScopeRefusal.OVERLOADED, CallWait.COME_BACK_MILLIS);

  private final AtomicLong skipped = new AtomicLong();
  private final CountDownLatch met = new CountDownLatch(1);
  private final Gate thread = new Gate();
  private final Gate disk = new Gate();
  private ScopeDuty duty;

  /** Where a thread is held up, from one visit on until the gate is opened. */
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

    void awaitVisitor() {
      await(reached);
    }

    private static void await(CountDownLatch latch) {
      try {
        assertThat(latch.await(PATIENCE.toSeconds(), TimeUnit.SECONDS)).isTrue();
      } catch (InterruptedException e) {
        throw new IllegalStateException(e);
      }
    }
  }

  /** A disk whose sync can be held up. */
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
      disk.pass();
    }

    @Override
    public void close() {
      memory.close();
    }
  }

  /** A worker that never answers, whose looks can hold the leader's thread up. */
  private final class GatedWorker extends SilentWorkers {

    @Override
    public Mono<PollResult> look(ScopeAction.Poll order) {
      met.countDown();
      thread.pass();
      return super.look(order);
    }
  }

  private long now() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime()) + skipped.get();
  }

  @BeforeEach
  void start() throws StorageException {
    ScopeLedger ledger = new ScopeLedger(60_000);
    duty =
        new ScopeDuty(
            settings(),
            ledger,
            new ScopeScheduler(ledger, ScopeSettings.DEFAULT),
            now(),
            ScopePorts.alone(SELF, new GatedStorage(), this::now, new GatedWorker()));
    duty.start();
    configure();
    announceWorker();
  }

  @AfterEach
  void stop() {
    thread.open();
    disk.open();
    duty.close();
  }

  private static LogSettings settings() {
    return ScopeInstance.logSettings(SELF, List.of(SELF), 1);
  }

  private void configure() {
    QueueSpec queue = new QueueSpec(new QueueName("q"), "host", "/q/", POOL, 1, 2, 2.0, 100, true);
    Question configure =
        new ScopeMessage.Configure(
            new ScopeConfiguration(new Revision(3), List.of(queue), List.of(), 1_000), "text");
    Answer answer = duty.answer(configure).block(PATIENCE);
    while (!(answer instanceof ScopeMessage.Done)) {
      Thread.onSpinWait();
      answer = duty.answer(configure).block(PATIENCE);
    }
  }

  private void announceWorker() {
    WorkerInfo info =
        new WorkerInfo(
            new WorkerKey(new TargetId("w1"), 1),
            new HostPort("127.0.0.1", 9),
            POOL,
            new FailureDomainId("d1"),
            new Resources(8_000, 8_000, 8),
            List.of("a", "r1"),
            "r1");
    duty.answer(new ScopeMessage.Heartbeat(new WorkerHeartbeat(info, 1, false, 0, 5)))
        .block(PATIENCE);
    // The log takes the worker after the answer; a disk that is held up before would keep it out.
    Gate.await(met);
  }

  private static Question submission() {
    return submission(JOB, "payload");
  }

  private static Question submission(CallerAddress address, String payload) {
    StepSpec step = StepSpec.builder(1).task(new Resources(1_000, 100, 1)).build();
    return new ScopeMessage.Submit(
        address, new JobSubmission(payload, List.of(step), Recurrence.NONE));
  }

  /** Asks while the leader's thread stands still, for longer than callers wait. */
  private Answer answerAfterTooLong(Question question) {
    return answerAfter(question, TOO_LONG_MILLIS);
  }

  private Answer answerAfter(Question question, long waitMillis) {
    thread.close();
    skipped.addAndGet(LOOK_PAUSE_MILLIS);
    thread.awaitVisitor();
    CompletableFuture<Answer> answer = duty.answer(question).toFuture();
    skipped.addAndGet(waitMillis);
    thread.open();
    return answer.orTimeout(PATIENCE.toSeconds(), TimeUnit.SECONDS).join();
  }

  /**
   * A leader that has just taken office is behind for most of a second; calls that came meanwhile
   * were refused though their callers waited on.
   */
  @Test
  void callThatItsCallerStillWaitsForIsCarriedOut() {
    assertThat(answerAfter(submission(), BEHIND_MILLIS)).isEqualTo(new ScopeMessage.Done());
    assertThat(answerAfter(new ScopeMessage.AskState(JOB), BEHIND_MILLIS))
        .isInstanceOf(ScopeMessage.State.class);
  }

  /** A submission for nobody costs the log and the workers what others need. */
  @Test
  void submissionThatWaitedTooLongIsRefusedAndNotRun() {
    assertThat(answerAfterTooLong(submission())).isEqualTo(NOT_RUN);
    assertThat(duty.answer(new ScopeMessage.AskState(JOB)).block(PATIENCE))
        .isEqualTo(new ScopeMessage.Refused(ScopeRefusal.UNKNOWN_JOB));
  }

  /** "Not run" must not be said of a job that an earlier try has put into the ledger. */
  @Test
  void acceptedJobIsNotRefusedWhenItsSecondTryWaitsTooLong() {
    assertThat(duty.answer(submission()).block(PATIENCE)).isEqualTo(new ScopeMessage.Done());
    assertThat(answerAfterTooLong(submission())).isEqualTo(new ScopeMessage.Done());
  }

  /** "Not run" must not be said of a job that the log is about to commit. */
  @Test
  void proposedJobIsNotRefusedWhenItsSecondTryWaitsTooLong() {
    disk.close();
    final CompletableFuture<Answer> first = duty.answer(submission()).toFuture();
    disk.awaitVisitor();
    assertThat(answerAfterTooLong(submission())).isEqualTo(new ScopeMessage.Unknown());
    disk.open();
    assertThat(first.orTimeout(PATIENCE.toSeconds(), TimeUnit.SECONDS).join())
        .isEqualTo(new ScopeMessage.Done());
  }

  /** A job that the log refused has not run, and must not be taken for one on its way. */
  @Test
  void jobRefusedByOverloadedLogIsNotTakenForProposed() {
    disk.close();
    String large = "x".repeat(settings().maxUncommittedBytes());
    final CompletableFuture<Answer> first = duty.answer(submission(OTHER_JOB, large)).toFuture();
    disk.awaitVisitor();
    assertThat(duty.answer(submission()).block(PATIENCE))
        .isInstanceOf(ScopeMessage.NotLeader.class);
    assertThat(answerAfterTooLong(submission())).isEqualTo(NOT_RUN);
    disk.open();
    assertThat(first.orTimeout(PATIENCE.toSeconds(), TimeUnit.SECONDS).join())
        .isEqualTo(new ScopeMessage.Done());
  }

  /** A read or a cancel for nobody keeps the thread from those that are still waited for. */
  @Test
  void readAndCancelThatWaitedTooLongAreRefused() {
    assertThat(duty.answer(submission()).block(PATIENCE)).isEqualTo(new ScopeMessage.Done());
    assertThat(answerAfterTooLong(new ScopeMessage.AskState(JOB))).isEqualTo(NOT_RUN);
    assertThat(answerAfterTooLong(new ScopeMessage.Cancel(JOB))).isEqualTo(NOT_RUN);
  }

  /** A heartbeat that is left out makes its worker silent, so that it gets nothing new. */
  @Test
  void lateHeartbeatsAndOrdersOfOperatorsAreTaken() {
    Question order = new ScopeMessage.SwitchDomain(new FailureDomainId("d1"), true);
    assertThat(answerAfterTooLong(order)).isEqualTo(new ScopeMessage.Done());
    assertThat(answerAfterTooLong(new ScopeMessage.WorkerLeft(new TargetId("w2"))))
        .isEqualTo(new ScopeMessage.Done());
  }

  /** A leader whose thread stands still must not leave the callers of its own instance waiting. */
  @Test
  void callerOfTheLeadersOwnInstanceGetsAnAnswerFromStandingLeader() {
    ScopeClient client =
        new ScopeClient(SELF, (to, question, wait) -> Mono.never(), this::now, List.of());
    client.attach(duty);
    client.tick(now());
    assertThat(client.leader()).isEqualTo(SELF);
    thread.close();
    skipped.addAndGet(LOOK_PAUSE_MILLIS);
    thread.awaitVisitor();
    Answer answer = client.ask(submission(), CALLER_WAIT).block(PATIENCE);
    thread.open();
    assertThat(answer).isInstanceOf(ScopeMessage.Unknown.class);
  }
}
