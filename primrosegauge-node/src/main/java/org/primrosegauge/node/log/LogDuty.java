package org.primrosegauge.node.log;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.primrosegauge.core.ErrorKind;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.PrimrosegaugeException;
import org.primrosegauge.core.StorageException;
import org.primrosegauge.core.Term;
import org.primrosegauge.core.keeper.cfg.KeeperSettings;
import org.primrosegauge.core.log.LogAction;
import org.primrosegauge.core.log.LogEntry;
import org.primrosegauge.core.log.LogIndex;
import org.primrosegauge.core.log.LogMessage;
import org.primrosegauge.core.log.LogReplica;
import org.primrosegauge.core.log.RecoveredLog;
import org.primrosegauge.core.log.cfg.LogSettings;
import org.primrosegauge.core.registry.ConfigurationRegistry;
import org.primrosegauge.core.registry.HistoryEntry;
import org.primrosegauge.core.registry.JobRecord;
import org.primrosegauge.core.registry.RegistryCommand;
import org.primrosegauge.core.registry.RegistryResult;
import org.primrosegauge.core.registry.cfg.RegistrySettings;
import org.primrosegauge.node.duty.Duty;
import org.primrosegauge.node.duty.MonotonicClock;
import org.primrosegauge.node.transport.PeerTransport;
import org.primrosegauge.wire.WireException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

/**
 * The replicated log of a voter: one thread runs the replica and the registry, a second one writes
 * the journal and syncs it. Writes that wait while a sync runs share the next one.
 *
 * <p>All state is touched on the log thread only. A failed write or sync ends the process's part in
 * the log for good: nothing is written again and nothing more is acknowledged.
 *
 * <p>Life-cycle: {@link #start}, {@link #close}.
 *
 * @since 0.1
 */
public final class LogDuty implements AutoCloseable {

  private static final Logger LOG = LoggerFactory.getLogger(LogDuty.class);
  private static final long TICK_MILLIS = 50;
  private static final long JOURNAL_TICK_MILLIS = 250;
  private static final long SNAPSHOT_INTERVAL_ENTRIES = 2_000;

  private record Pending(Term term, MonoSink<RegistryResult> sink) {}

  private final PeerTransport transport;
  private final MonotonicClock clock;
  private final LogStorage storage;
  private final Consumer<RegistryView> onView;
  private final Consumer<StorageException> onStorageFailure;
  private final Duty duty;
  private final Duty journal;
  private final RegistryCodec codec = new RegistryCodec();
  private final ConfigurationRegistry registry;
  private final LogReplica replica;
  private final Map<LogIndex, Pending> pending = new TreeMap<>();
  private final List<MonoSink<RegistryResult>> proposing = new ArrayList<>();
  private RegistryView published = RegistryView.NONE;
  private long applied;
  private long snapshotAt;
  private volatile InstanceId publishedLeader;

  // Touched by the journal thread only.
  private final List<LogAction.Persist> unsynced = new ArrayList<>();
  private boolean storageFailed;

  /**
   * Creates the duty from what the storage holds.
   *
   * @param keeperSettings lengths of the keepers' leases; equal on all voters
   * @param random source of election time-outs
   * @param onView told of each change of the registry, on the log thread
   * @param onStorageFailure told once when the storage becomes unusable
   * @throws StorageException when the storage cannot be recovered
   * @since 0.1
   */
  public LogDuty(
      LogSettings settings,
      KeeperSettings keeperSettings,
      int ringCapacity,
      LogStorage storage,
      RandomGenerator random,
      MonotonicClock clock,
      PeerTransport transport,
      Consumer<RegistryView> onView,
      Consumer<StorageException> onStorageFailure)
      throws StorageException {
    this.transport = transport;
    this.clock = clock;
    this.storage = storage;
    this.onView = onView;
    this.onStorageFailure = onStorageFailure;
    this.duty = new Duty("log", ringCapacity, TICK_MILLIS, clock, this::tick);
    this.journal =
        new Duty("journal", ringCapacity, JOURNAL_TICK_MILLIS, clock, now -> syncBatch());
    this.registry = new ConfigurationRegistry(RegistrySettings.DEFAULT, keeperSettings);
    RecoveredLog recovered = storage.recover();
    restoreFrom(recovered);
    this.replica = new LogReplica(settings, recovered, random, clock.nowMillis());
    transport.onTell(
        LogMessage.class,
        (from, message) ->
            duty.offer(() -> perform(replica.received(from, message, clock.nowMillis()))));
  }

  // Life-cycle

  /**
   * Starts both threads.
   *
   * @since 0.1
   */
  public void start() {
    journal.start();
    duty.start();
    duty.offer(this::publish);
  }

  @Override
  public void close() {
    duty.close();
    journal.close();
    storage.close();
  }

  // Accessors; may be called from any thread

  /**
   * Returns the leader, as known; null when none is known.
   *
   * @since 0.1
   */
  public InstanceId leader() {
    return publishedLeader;
  }

  // Main API; may be called from any thread

  /**
   * Proposes a command at this replica.
   *
   * @return the result once it is committed and applied; an error of kind UNAVAILABLE when this
   *     replica does not lead, so that nothing was proposed; OUTCOME_UNKNOWN when leadership was
   *     lost meanwhile
   * @since 0.1
   */
  public Mono<RegistryResult> propose(RegistryCommand command) {
    return Mono.create(
        sink -> {
          if (!duty.offer(() -> proposeNow(codec.write(command), sink))) {
            sink.error(notLeader());
          }
        });
  }

  /**
   * Returns the latest changes of the configuration, oldest first.
   *
   * @since 0.1
   */
  public Mono<List<HistoryEntry>> history(int most) {
    return duty.ask(
        () -> {
          List<HistoryEntry> all = registry.history();
          return all.subList(Math.max(0, all.size() - most), all.size());
        });
  }

  /**
   * Returns the job records of a home domain, once this replica leads under a valid lease: nothing
   * that was acknowledged is missing from them.
   *
   * @since 0.1
   */
  public Mono<List<JobRecord>> jobs(FailureDomainId domain) {
    return duty.ask(
        () -> {
          LogIndex fresh = replica.readIndex(clock.nowMillis()).orElseThrow(LogDuty::notLeader);
          if (fresh.number() > applied) {
            throw notLeader();
          }
          return registry.jobs().stream().filter(job -> job.domain().equals(domain)).toList();
        });
  }

  // Log thread

  private void tick(long nowMillis) {
    perform(replica.tick(nowMillis));
  }

  private void proposeNow(byte[] command, MonoSink<RegistryResult> sink) {
    proposing.add(sink);
    perform(replica.propose(command, clock.nowMillis()));
  }

  private void perform(List<LogAction> actions) {
    for (LogAction action : actions) {
      if (action instanceof LogAction.Send send) {
        transport.tell(send.to(), send.message());
      } else if (action instanceof LogAction.Persist persist) {
        persist(persist);
      } else if (action instanceof LogAction.Commit commit) {
        commit.entries().forEach(this::apply);
        publish();
        snapshotIfDue();
      } else if (action instanceof LogAction.InstallSnapshot install) {
        restore(install.snapshot().state());
        applied = install.snapshot().index().number();
        publish();
      } else if (action instanceof LogAction.LeaderChanged change) {
        leaderChanged(change);
      } else if (action instanceof LogAction.ProposalAccepted accepted) {
        pending.put(accepted.first(), new Pending(accepted.term(), proposing.remove(0)));
      } else if (action instanceof LogAction.ProposalRefused refused) {
        proposing.remove(0).error(notLeader());
        LOG.debug("proposal refused: {}", refused.reason());
      }
    }
  }

  private void apply(LogEntry entry) {
    applied = entry.index().number();
    RegistryResult result = null;
    if (entry.isCommand()) {
      try {
        result = registry.apply(codec.readCommand(entry.command()), entry.logMillis());
      } catch (WireException e) {
        // Every replica skips the same entry, so their states stay equal.
        LOG.error("entry {} of the log cannot be read and is skipped", entry.index(), e);
      }
    }
    Pending waiting = pending.remove(entry.index());
    if (waiting == null) {
      return;
    }
    if (result != null && waiting.term().equals(entry.term())) {
      waiting.sink().success(result);
    } else {
      waiting.sink().error(outcomeUnknown());
    }
  }

  private void leaderChanged(LogAction.LeaderChanged change) {
    publishedLeader = change.leader();
    LOG.info("leader of the replicated log is {} in term {}", change.leader(), change.term());
    if (!replica.isLeader()) {
      pending.values().forEach(waiting -> waiting.sink().error(outcomeUnknown()));
      pending.clear();
    }
  }

  /** Publishes the view unless it equals the last one, as after the renewal of a lease. */
  private void publish() {
    RegistryView view =
        new RegistryView(applied, registry.accepted(), registry.switches(), registry.offices());
    if (!view.hasContentOf(published)) {
      published = view;
      onView.accept(view);
    }
  }

  private void snapshotIfDue() {
    if (applied - snapshotAt >= SNAPSHOT_INTERVAL_ENTRIES) {
      snapshotAt = applied;
      byte[] state = codec.write(registry.snapshot());
      perform(replica.snapshotTaken(new LogIndex(applied), state, clock.nowMillis()));
    }
  }

  private void restoreFrom(RecoveredLog recovered) {
    if (recovered.snapshot() != null) {
      restore(recovered.snapshot().state());
      applied = recovered.snapshot().index().number();
      snapshotAt = applied;
    }
  }

  private void restore(byte[] state) {
    try {
      registry.restore(codec.readSnapshot(state));
    } catch (WireException e) {
      throw new IllegalStateException("the snapshot of the registry cannot be read", e);
    }
  }

  // Journal thread

  private void persist(LogAction.Persist write) {
    if (!journal.offer(() -> append(write))) {
      onStorageFailure.accept(
          new StorageException("the journal ring is full", "use a faster disk", ""));
    }
  }

  private void append(LogAction.Persist write) {
    if (storageFailed) {
      return;
    }
    try {
      storage.write(write);
      unsynced.add(write);
      // Writes that are offered while this one syncs wait in the ring and share the next sync.
      journal.offer(this::syncBatch);
    } catch (StorageException e) {
      fail(e);
    }
  }

  private void syncBatch() {
    if (unsynced.isEmpty() || storageFailed) {
      return;
    }
    try {
      storage.sync();
    } catch (StorageException e) {
      fail(e);
      return;
    }
    long last = unsynced.get(unsynced.size() - 1).write();
    unsynced.clear();
    duty.offer(() -> perform(replica.synced(last, clock.nowMillis())));
  }

  private void fail(StorageException error) {
    storageFailed = true;
    LOG.error("the storage of the log is unusable from now on", error);
    onStorageFailure.accept(error);
  }

  // Errors

  private static PrimrosegaugeException notLeader() {
    return new PrimrosegaugeException(
        ErrorKind.UNAVAILABLE, "this instance does not lead the log", "ask the leader", "");
  }

  static PrimrosegaugeException outcomeUnknown() {
    return new PrimrosegaugeException(
        ErrorKind.OUTCOME_UNKNOWN,
        "the leader changed before the outcome was known",
        "send the same request id again: it gets the first answer",
        "");
  }
}
