package org.primrosegauge.node.scope;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.StorageException;
import org.primrosegauge.core.log.LogMessage;
import org.primrosegauge.core.log.cfg.LogSettings;
import org.primrosegauge.core.scope.ScopeLedger;
import org.primrosegauge.core.scope.ScopeScheduler;
import org.primrosegauge.node.duty.Duty;
import org.primrosegauge.node.duty.MonotonicClock;
import org.primrosegauge.node.journal.Journal;
import org.primrosegauge.node.log.StorageSupervisor;
import org.primrosegauge.node.log.TimedStorage;
import org.primrosegauge.node.metrics.NodeMetrics;
import org.primrosegauge.node.scope.cfg.ScopeNodeSettings;
import org.primrosegauge.node.transport.PeerAddress;
import org.primrosegauge.node.transport.PeerSecurity;
import org.primrosegauge.node.transport.PeerTransport;
import org.primrosegauge.wire.FrameCodec;
import org.primrosegauge.wire.MessageTypes;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One instance of a scope: connections to the others, the way to the leader and, with a data
 * folder, the replicated ledger.
 *
 * <p>Life-cycle: created from settings, {@link #start}, {@link #close}.
 *
 * @since 0.2
 */
public final class ScopeInstance implements AutoCloseable {

  private static final Logger LOG = LoggerFactory.getLogger(ScopeInstance.class);
  private static final MessageTypes MESSAGE_TYPES =
      MessageTypes.builder()
          .family("log", LogMessage.class)
          .family("scope", ScopeMessage.class)
          .build();
  private static final String LOG_FOLDER = "log";
  private static final int QUEUE_CAPACITY = 1_024;
  private static final long HOUSEKEEPING_INTERVAL_MILLIS = 250;
  private static final long JOIN_INTERVAL_MILLIS = 500;
  private static final long STORAGE_CHECK_INTERVAL_MILLIS = 250;
  private static final int VOTER_LOSS_TIMEOUT_MILLIS = 8_000;
  private static final int HEARTBEAT_INTERVAL_MILLIS = 200;
  private static final int ELECTION_MIN_MILLIS = 700;
  private static final int ELECTION_MAX_MILLIS = 1_300;

  private final ScopeNodeSettings settings;
  private final long startedMillis;
  private final MonotonicClock clock = MonotonicClock.system();
  private final NodeMetrics metrics = new NodeMetrics();
  private final ScopeEventLog events = new ScopeEventLog(metrics);
  private final ScopeMetrics scopeMetrics = new ScopeMetrics(metrics);
  private final PeerTransport transport;
  private final ScopeClient client;

  /** The ledger, on an instance with a data folder; null on others. */
  private final StorageSupervisor<ScopeReplica> replicaSupervisor;

  private final Duty storage;
  private final Duty housekeeping;
  private boolean hasOpenedReplica;
  private long nextJoinMillis;

  /**
   * Creates an instance that does not run yet.
   *
   * @param startedMillis when the process started, in milliseconds of the monotonic clock
   * @param workers port to the workers; used while this instance leads
   * @param onStorageFailure told when the storage cannot be used until someone sees to it; the
   *     process must then end. Where only an operation failed, such as on a full disk, the instance
   *     goes on without its ledger until the storage takes writes again
   * @throws StorageException when the storage cannot be recovered
   * @since 0.2
   */
  public ScopeInstance(
      ScopeNodeSettings settings,
      long startedMillis,
      WorkerClient workers,
      Consumer<StorageException> onStorageFailure)
      throws StorageException {
    this.settings = settings;
    this.startedMillis = startedMillis;
    this.transport =
        new PeerTransport(
            settings.self(), new FrameCodec(MESSAGE_TYPES), metrics, PeerSecurity.NONE);
    transport.resolver(peer -> Optional.of(addressOf(peer)));
    this.client =
        new ScopeClient(
            settings.self(),
            (to, question, timeout) ->
                transport.ask(to, question, ScopeMessage.Answer.class, timeout),
            clock,
            settings.seeds());
    this.replicaSupervisor =
        settings.dataFolder().isPresent() ? openSupervisor(workers, onStorageFailure) : null;
    this.storage =
        new Duty(
            "storage",
            QUEUE_CAPACITY,
            STORAGE_CHECK_INTERVAL_MILLIS,
            clock,
            this::superviseStorage);
    this.housekeeping =
        new Duty(
            "housekeeping",
            QUEUE_CAPACITY,
            HOUSEKEEPING_INTERVAL_MILLIS,
            clock,
            this::runHousekeeping);
  }

  private StorageSupervisor<ScopeReplica> openSupervisor(
      WorkerClient workers, Consumer<StorageException> onStorageFailure) throws StorageException {
    StorageSupervisor<ScopeReplica> supervisor =
        new StorageSupervisor<>(
            onFailure -> openReplica(workers, onFailure),
            ScopeReplica::start,
            () -> journal().checkWritable(),
            onStorageFailure);
    supervisor.open();
    return supervisor;
  }

  private Journal journal() {
    return new Journal(settings.dataFolder().orElseThrow().resolve(LOG_FOLDER));
  }

  private ScopeReplica openReplica(
      WorkerClient workers, Consumer<StorageException> onStorageFailure) throws StorageException {
    // An earlier ledger of this process has lived until now.
    long sinceMillis = hasOpenedReplica ? clock.nowMillis() : startedMillis;
    hasOpenedReplica = true;
    List<InstanceId> initialVoters = settings.isFirstStart() ? settings.seeds() : List.of();
    RandomGenerator random = new SplittableRandom(settings.self().hashCode() ^ System.nanoTime());
    ScopeLedger state = new ScopeLedger(settings.retentionMillis());
    return new ScopeReplica(
        logSettings(settings.self(), initialVoters, settings.targetVoters()),
        state,
        new ScopeScheduler(state, settings.scheduling()),
        sinceMillis,
        new ScopeReplica.Dependencies(
            new TimedStorage(
                journal(),
                millis -> metrics.time("primrosegauge.log.sync", "journal", "done", millis)),
            random,
            clock,
            System::currentTimeMillis,
            transport,
            workers,
            events,
            scopeMetrics,
            onStorageFailure));
  }

  /** Returns the settings of the log: a lost leader is replaced before most callers give up. */
  static LogSettings logSettings(
      InstanceId self, List<InstanceId> initialVoters, int targetVoters) {
    return LogSettings.of(self, initialVoters)
        .withTimings(HEARTBEAT_INTERVAL_MILLIS, ELECTION_MIN_MILLIS, ELECTION_MAX_MILLIS)
        .withTargetVoters(targetVoters, VOTER_LOSS_TIMEOUT_MILLIS);
  }

  // Life-cycle

  /**
   * Starts its threads and takes connections of other instances.
   *
   * @since 0.2
   */
  public void start() {
    transport.start(settings.self().value(), settings.peerPort());
    if (replicaSupervisor != null) {
      replicaSupervisor.start();
      client.attach(replicaSupervisor.current());
      storage.start();
    }
    housekeeping.start();
    LOG.info(
        "instance {} started, seeds {}, keeps the log: {}",
        settings.self(),
        settings.seeds(),
        replicaSupervisor != null);
  }

  @Override
  public void close() {
    housekeeping.close();
    storage.close();
    if (replicaSupervisor != null) {
      replicaSupervisor.close();
    }
    transport.close();
    LOG.info("instance {} stopped", settings.self());
  }

  /**
   * Stops leading, if this instance leads, so that another is elected at once. To be called some
   * time before the process ends.
   *
   * @since 0.3
   */
  public void transferLeadership() {
    ScopeReplica open = currentReplica();
    if (open != null) {
      open.transferLeadership();
    }
  }

  // Accessors

  /**
   * Returns the way to the leader.
   *
   * @since 0.2
   */
  public ScopeClient client() {
    return client;
  }

  /**
   * Returns the counters.
   *
   * @since 0.2
   */
  public NodeMetrics metrics() {
    return metrics;
  }

  /**
   * Tells whether callers are served here: a leader answered lately.
   *
   * @since 0.2
   */
  public boolean isReady() {
    return client.isLeaderReachable(clock.nowMillis());
  }

  // Internals

  private PeerAddress addressOf(InstanceId peer) {
    return new PeerAddress(peer, peer.value(), settings.peerPort());
  }

  /** Returns the ledger; null on an instance that keeps none, or cannot at present. */
  private ScopeReplica currentReplica() {
    return replicaSupervisor == null ? null : replicaSupervisor.current();
  }

  private void superviseStorage(long nowMillis) {
    replicaSupervisor.tick(nowMillis);
    client.attach(replicaSupervisor.current());
  }

  private void runHousekeeping(long nowMillis) {
    client.tick(nowMillis);
    ScopeReplica open = currentReplica();
    if (open != null && nowMillis >= nextJoinMillis) {
      nextJoinMillis = nowMillis + JOIN_INTERVAL_MILLIS;
      open.joinRequestIfNeeded()
          .subscribe(
              join -> client.knownInstances().forEach(peer -> transport.tell(peer, join)),
              error -> LOG.warn("membership is not known: {}", error.getMessage()));
    }
  }
}
