package org.primrosegauge.node.keeper;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.primrosegauge.core.CustomerId;
import org.primrosegauge.core.ErrorKind;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.JobId;
import org.primrosegauge.core.Term;
import org.primrosegauge.core.job.JobPhase;
import org.primrosegauge.core.job.JobSpec;
import org.primrosegauge.core.job.LedgerRecord;
import org.primrosegauge.core.job.RecordStamp;
import org.primrosegauge.core.job.Resources;
import org.primrosegauge.core.keeper.InstanceSet;
import org.primrosegauge.core.keeper.KeeperMessage;
import org.primrosegauge.core.keeper.KeeperOffice;
import org.primrosegauge.core.keeper.QuorumResult;
import org.primrosegauge.core.keeper.SetView;
import org.primrosegauge.core.keeper.cfg.KeeperSettings;
import org.primrosegauge.core.site.Adjacency;
import org.primrosegauge.node.duty.MonotonicClock;
import org.primrosegauge.node.job.JobMessage;
import org.primrosegauge.node.metrics.NodeMetrics;
import org.primrosegauge.node.target.WorkerClient;
import org.primrosegauge.node.transport.PeerAddress;
import org.primrosegauge.node.transport.PeerSecurity;
import org.primrosegauge.node.transport.PeerTransport;
import org.primrosegauge.wire.FrameCodec;
import org.primrosegauge.wire.MessageTypes;
import reactor.core.publisher.Mono;

/**
 * A restarted instance takes the office while the log holds nothing of the domain's jobs, as after
 * the domain was cut off. The time limit only ends a hang.
 */
@Timeout(120)
class KeeperTakeoverTest {

  private static final FailureDomainId DOMAIN = new FailureDomainId("klang");
  private static final InstanceId KEEPER = new InstanceId("klang-1");
  private static final InstanceId PEER = new InstanceId("klang-2");
  private static final String HOST = "127.0.0.1";
  private static final Duration PATIENCE = Duration.ofSeconds(5);
  private static final long POLL_MILLIS = 20;
  private static final KeeperSettings SETTINGS = new KeeperSettings(2_000, 300, 10_000);
  private static final MonotonicClock CLOCK =
      () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  private static final SetView BOTH =
      new SetView(new InstanceSet(1, List.of(KEEPER, PEER)), InstanceSet.NONE);

  private final List<AutoCloseable> opened = new ArrayList<>();
  private final NodeMetrics metrics = new NodeMetrics();

  @AfterEach
  void close() throws Exception {
    for (AutoCloseable each : opened) {
      each.close();
    }
  }

  /** Jobs on record at the peer, more than fit one message. */
  @ParameterizedTest
  @ValueSource(ints = {1, 200})
  void newKeeperKnowsTheJobsThatOnlyItsPeerHolds(int jobs) throws Exception {
    PeerTransport keeper = transport(KEEPER);
    PeerTransport peer = transport(PEER);
    connect(keeper, peer);
    duty(peer, PEER, KEEPER, command -> Mono.never()).start();
    for (int i = 0; i < jobs; i++) {
      ask(keeper, PEER, new JobMessage.Replicate(record("klang.job-" + i)));
    }
    KeeperDuty restarted = duty(keeper, KEEPER, PEER, command -> Mono.just(granted()));
    restarted.officeObserved(office(Optional.empty(), Term.NONE));
    restarted.start();

    JobMessage answer = askUntilDecided(peer, new JobId("klang.job-" + (jobs - 1)));
    assertThat(answer).isInstanceOf(JobMessage.Found.class);
  }

  /** A job may be on record at a peer that has not answered yet. */
  @Test
  void instanceThatHasNotReadItsPeersDeniesNoJob() throws Exception {
    PeerTransport keeper = transport(KEEPER);
    PeerTransport asker = transport(PEER);
    connect(keeper, asker);
    duty(keeper, KEEPER, PEER, command -> Mono.never()).start();
    JobMessage answer = ask(asker, KEEPER, new JobMessage.Show(new JobId("klang.job-1")));
    assertThat(answer).isInstanceOf(JobMessage.Refused.class);
    assertThat(((JobMessage.Refused) answer).kind()).isEqualTo(ErrorKind.UNAVAILABLE);
  }

  // Internals

  private PeerTransport transport(InstanceId id) {
    FrameCodec codec =
        new FrameCodec(
            MessageTypes.builder()
                .family("job", JobMessage.class)
                .family("keeper", KeeperMessage.class)
                .build());
    PeerTransport transport = new PeerTransport(id, codec, metrics, PeerSecurity.NONE);
    opened.add(transport);
    return transport;
  }

  private static void connect(PeerTransport one, PeerTransport other) {
    one.start(HOST, 0);
    other.start(HOST, 0);
    one.connect(new PeerAddress(PEER, HOST, other.port()));
    other.connect(new PeerAddress(KEEPER, HOST, one.port()));
  }

  private KeeperDuty duty(
      PeerTransport transport, InstanceId self, InstanceId other, KeeperQuorum quorum) {
    KeeperDuty duty =
        new KeeperDuty(
            DOMAIN,
            self,
            SETTINGS,
            1_024,
            10_000,
            CLOCK,
            transport,
            quorum,
            new EmptyLog(),
            List.of(other),
            new WorkerClient(Duration.ofSeconds(1)),
            metrics);
    opened.add(0, duty);
    return duty;
  }

  private static JobMessage ask(PeerTransport from, InstanceId to, JobMessage.Question question)
      throws InterruptedException {
    while (true) {
      JobMessage answer =
          from.ask(to, question, JobMessage.class, PATIENCE)
              .onErrorResume(error -> Mono.empty())
              .block();
      if (answer != null) {
        return answer;
      }
      Thread.sleep(POLL_MILLIS);
    }
  }

  /** Asks until the keeper says whether it knows the job. */
  private static JobMessage askUntilDecided(PeerTransport from, JobId job)
      throws InterruptedException {
    while (true) {
      JobMessage answer = ask(from, KEEPER, new JobMessage.Show(job));
      boolean isLater =
          answer instanceof JobMessage.Refused refused && refused.kind() == ErrorKind.UNAVAILABLE;
      if (!isLater) {
        return answer;
      }
      Thread.sleep(POLL_MILLIS);
    }
  }

  private static QuorumResult granted() {
    return new QuorumResult(QuorumResult.Outcome.GRANTED, office(Optional.of(KEEPER), new Term(2)));
  }

  private static KeeperOffice office(Optional<InstanceId> holder, Term term) {
    return new KeeperOffice(DOMAIN, term, holder, BOTH);
  }

  private static LedgerRecord record(String job) {
    JobSpec spec =
        new JobSpec(
            new JobId(job),
            new CustomerId("depot"),
            3,
            new Resources(1_000, 10, 1),
            Adjacency.values()[0],
            false,
            false,
            true,
            false,
            0,
            0,
            "run 200");
    return new LedgerRecord(
        spec,
        DOMAIN,
        Optional.empty(),
        new RecordStamp(0, new Term(1), 3),
        1,
        1,
        JobPhase.STARTING,
        Optional.empty());
  }

  /** A log that takes no records, as for a domain that is cut off from it. */
  private static final class EmptyLog implements JobLog {

    @Override
    public Mono<Boolean> put(LedgerRecord record) {
      return Mono.never();
    }

    @Override
    public Mono<List<LedgerRecord>> records(FailureDomainId domain) {
      return Mono.just(List.of());
    }
  }
}
