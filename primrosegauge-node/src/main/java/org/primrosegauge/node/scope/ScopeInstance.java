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
 * One instance of a scope: connections to the other instances, the client of the leader and, if a
 * data folder is configured, a replica of the ledger.
 *
 * <p>Lifecycle: created from settings, {@link #start}, {@link #close}.
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
  private static final long HOUSEKEEPING_INTERVAL_MILLIS = 100;
  private static final long JOIN_INTERVAL_MILLIS = 500;
  private static final long STORAGE_CHECK_INTERVAL_MILLIS = 250;

  /** Part of the time between two losses for which a voter is silent before it is replaced. */
  private static final int VOTER_LOSS_DIVISOR = 4;

  private static final int HEARTBEAT_INTERVAL_MILLIS = 200;
  private static final int ELECTION_MIN_MILLIS = 700;
  private static final int ELECTION_MAX_MILLIS = 1_300;

  private final ScopeNodeSettings settings;
  private final long startedMillis;
  private final MonotonicClock clock = MonotonicClock.system();
  private final NodeMetrics metrics = new NodeMetrics();
  private final ScopeEventLog events = new ScopeEventLog(metrics);
  private final ScopeMetrics scopeMetrics = new ScopeMetrics(metrics);
  private final ConfigurationParser configurations;
  private final PeerTransport transport;
  private final ScopeClient client;

  /** Supervisor of the replica; null on an instance without a data folder. */
  private final StorageSupervisor<ScopeReplica> replicaSupervisor;

  private final Duty storage;
  private final Duty housekeeping;
  private boolean hasOpenedReplica;
  private long nextJoinMillis;

  /**
   * Creates an instance that is not started yet.
   *
   * @param startedMillis when the process started, in milliseconds of the monotonic clock
   * @param workers client of the workers; used while this instance leads
   * @param configurations parser of the configurations
   * @param onStorageFailure called when the storage is unusable until an operator intervenes; the
   *     process must then terminate. If only an operation failed, such as on a full disk, the
   *     instance continues without its replica until the storage accepts writes again
   * @throws StorageException if the storage cannot be recovered
   * @since 0.2
   */
  public ScopeInstance(
      ScopeNodeSettings settings,
      long startedMillis,
      WorkerClient workers,
      ConfigurationParser configurations,
      Consumer<StorageException> onStorageFailure)
      throws StorageException {
    this.settings = settings;
    this.configurations = configurations;
    this.startedMillis = startedMillis;
    this.transport =
        new PeerTransport(
            settings.self(), new FrameCodec(MESSAGE_TYPES), metrics, PeerSecurity.NONE);
    transport.resolver(peer -> Optional.of(addressOf(peer)));
    this.client =
        new ScopeClient(
            settings.self(),
            (to, request, timeout) ->
                transport.ask(to, request, ScopeMessage.Answer.class, timeout),
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
    // An earlier replica of this process was running until now.
    long sinceMillis = hasOpenedReplica ? clock.nowMillis() : startedMillis;
    hasOpenedReplica = true;
    List<InstanceId> initialVoters = settings.isFirstStart() ? settings.seeds() : List.of();
    RandomGenerator random = new SplittableRandom(settings.self().hashCode() ^ System.nanoTime());
    ScopeLedger state = new ScopeLedger(settings.retentionMillis());
    return new ScopeReplica(
        logSettings(
            settings.self(), initialVoters, settings.targetVoters(), settings.catchUpMillis()),
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
            configurations,
            events,
            scopeMetrics,
            onStorageFailure));
  }

  /**
   * Returns the settings of the log. The timeouts are chosen so that a lost leader is replaced
   * before most callers time out, and that a learner replaces a lost voter well before the next one
   * may be lost: there may have to be an election first.
   */
  static LogSettings logSettings(
      InstanceId self, List<InstanceId> initialVoters, int targetVoters, int catchUpMillis) {
    return LogSettings.of(self, initialVoters)
        .withTimings(HEARTBEAT_INTERVAL_MILLIS, ELECTION_MIN_MILLIS, ELECTION_MAX_MILLIS)
        .withTargetVoters(targetVoters, catchUpMillis / VOTER_LOSS_DIVISOR);
  }

  /**
   * Starts the threads and accepts connections from other instances.
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
        "instance {} started, seeds {}, replicates the log: {}",
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
   * Transfers leadership to another instance if this one leads. Must be called some time before the
   * process terminates, so that the transfer can complete.
   *
   * @since 0.3
   */
  public void transferLeadership() {
    ScopeReplica current = currentReplica();
    if (current != null) {
      current.transferLeadership();
    }
  }

  /**
   * Returns the client that sends requests to the leader.
   *
   * @since 0.2
   */
  public ScopeClient client() {
    return client;
  }

  /**
   * Returns the metrics of this instance.
   *
   * @since 0.2
   */
  public NodeMetrics metrics() {
    return metrics;
  }

  /**
   * Returns whether this instance can serve callers, that is, whether a leader has responded
   * recently.
   *
   * @since 0.2
   */
  public boolean isReady() {
    return client.isReady(clock.nowMillis());
  }

  private PeerAddress addressOf(InstanceId peer) {
    return new PeerAddress(peer, peer.value(), settings.peerPort());
  }

  /**
   * Returns the replica, or null if this instance has none or its storage is currently unusable.
   */
  private ScopeReplica currentReplica() {
    return replicaSupervisor == null ? null : replicaSupervisor.current();
  }

  private void superviseStorage(long nowMillis) {
    replicaSupervisor.tick(nowMillis);
    client.attach(replicaSupervisor.current());
  }

  private void runHousekeeping(long nowMillis) {
    client.tick(nowMillis);
    ScopeReplica current = currentReplica();
    if (current != null && nowMillis >= nextJoinMillis) {
      nextJoinMillis = nowMillis + JOIN_INTERVAL_MILLIS;
      current
          .joinRequestIfNeeded()
          .subscribe(
              join -> client.knownInstances().forEach(peer -> transport.tell(peer, join)),
              error ->
                  LOG.warn(
                      "cannot determine membership in the log, retrying: {}", error.getMessage()));
    }
  }
}
