package org.primrosegauge.node.log;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.primrosegauge.core.ErrorKind;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.PrimrosegaugeException;
import org.primrosegauge.core.StorageException;
import org.primrosegauge.core.Term;
import org.primrosegauge.core.log.LogAction;
import org.primrosegauge.core.log.LogEntry;
import org.primrosegauge.core.log.LogIndex;
import org.primrosegauge.core.log.LogMessage;
import org.primrosegauge.core.log.LogReplica;
import org.primrosegauge.core.log.LogSnapshot;
import org.primrosegauge.core.log.Membership;
import org.primrosegauge.core.log.MembershipChange;
import org.primrosegauge.core.log.RecoveredLog;
import org.primrosegauge.core.log.ReplicaId;
import org.primrosegauge.core.log.cfg.LogSettings;
import org.primrosegauge.node.duty.Duty;
import org.primrosegauge.node.duty.MonotonicClock;
import org.primrosegauge.node.transport.PeerTransport;
import org.primrosegauge.wire.WireException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

/**
 * Replica of the log in this process. One thread runs the replica and the state machine, a second
 * one writes and syncs the journal, and a third one serializes snapshots. Writes that arrive during
 * a sync are made durable together by the next one.
 *
 * <p>All state is confined to the log thread, unless noted otherwise. After a failed write or sync,
 * this replica writes and acknowledges nothing more.
 *
 * <p>Lifecycle: {@link #start}, {@link #close}.
 *
 * @param <R> type of the result of a command
 * @since 0.2
 */
public final class ReplicatedLog<R> implements AutoCloseable {

  private static final Logger LOG = LoggerFactory.getLogger(ReplicatedLog.class);
  private static final long TICK_MILLIS = 50;
  private static final long JOURNAL_TICK_MILLIS = 250;
  private static final long SNAPSHOT_TICK_MILLIS = 1_000;
  private static final int SNAPSHOT_QUEUE_CAPACITY = 2;
  private static final long SNAPSHOT_INTERVAL_ENTRIES = 2_000;

  /**
   * Size of the entries since the last snapshot at which the next one is due, in bytes. The entries
   * since then are in memory, and a restart has to fit them in again.
   */
  private static final long SNAPSHOT_INTERVAL_BYTES = 4 * 1024 * 1024;

  /**
   * Dependencies of the replica.
   *
   * @param storage durable storage
   * @param random source of election timeouts
   * @param clock monotonic clock
   * @param transport connections to the other replicas
   * @param onStorageFailure called once if the storage becomes unusable
   * @since 0.2
   */
  public record Dependencies(
      LogStorage storage,
      RandomGenerator random,
      MonotonicClock clock,
      PeerTransport transport,
      Consumer<StorageException> onStorageFailure) {}

  private record PendingResult<R>(Term term, MonoSink<R> sink) {}

  private final Dependencies dependencies;
  private final ReplicatedStateMachine<R> stateMachine;
  private final Duty duty;
  private final Duty journal;
  private final Duty snapshots;
  private final LogReplica replica;
  private final Map<LogIndex, PendingResult<R>> pendingResults = new TreeMap<>();
  private final List<MonoSink<R>> submittedProposals = new ArrayList<>();
  private final Queue<LogAction> queuedActions = new ArrayDeque<>();
  private boolean isPerforming;
  private long appliedIndex;
  private long lastSnapshotIndex;
  private long lastSnapshotBytes;
  private long bytesSinceSnapshot;
  private boolean isWritingSnapshot;
  private volatile InstanceId knownLeader;

  // Confined to the journal thread.
  private final List<LogAction.Persist> unsynced = new ArrayList<>();
  private boolean storageFailed;

  /**
   * Creates the replica from the content of the storage.
   *
   * @param queueCapacity capacity of the task queues of the log thread and the journal thread
   * @param sinceMillis a time on the clock at which any earlier incarnation of this replica had
   *     ended, in milliseconds; the period for which that incarnation may have to withhold its vote
   *     starts here
   * @throws StorageException if the storage cannot be recovered
   * @since 0.2
   */
  public ReplicatedLog(
      LogSettings settings,
      int queueCapacity,
      long sinceMillis,
      Dependencies dependencies,
      ReplicatedStateMachine<R> stateMachine)
      throws StorageException {
    this.dependencies = dependencies;
    this.stateMachine = stateMachine;
    this.duty =
        new Duty(
            "log",
            queueCapacity,
            TICK_MILLIS,
            dependencies.clock(),
            this::tick,
            () -> Long.MAX_VALUE,
            new AfterBatchHook());
    this.journal =
        new Duty(
            "journal",
            queueCapacity,
            JOURNAL_TICK_MILLIS,
            dependencies.clock(),
            now -> syncBatch());
    this.snapshots =
        new Duty(
            "snapshot",
            SNAPSHOT_QUEUE_CAPACITY,
            SNAPSHOT_TICK_MILLIS,
            dependencies.clock(),
            now -> {});
    RecoveredLog recovered = dependencies.storage().recover();
    if (recovered.snapshot() != null) {
      restoreFrom(recovered.snapshot());
    }
    this.replica = new LogReplica(settings, recovered, dependencies.random(), sinceMillis);
    LOG.info(
        "replica {} of the log opened: last entry {}, term {}, members {}",
        replica.id(),
        replica.lastIndex(),
        replica.term(),
        replica.membership().members());
    dependencies
        .transport()
        .onTell(
            LogMessage.class,
            (from, message) ->
                duty.offer(Duty.Rank.FIRST, () -> perform(replica.received(from, message, now()))));
  }

  /**
   * Starts the threads of the log.
   *
   * @since 0.2
   */
  public void start() {
    journal.start();
    snapshots.start();
    duty.start();
    duty.offer(() -> stateMachine.onApplied(appliedIndex));
  }

  @Override
  public void close() {
    duty.close();
    snapshots.close();
    journal.close();
    dependencies.storage().close();
  }

  // The following methods may be called from any thread.

  /**
   * Returns the last known leader; null if none is known.
   *
   * @since 0.2
   */
  public InstanceId leader() {
    return knownLeader;
  }

  /**
   * Returns the log thread.
   *
   * @since 0.2
   */
  public Duty duty() {
    return duty;
  }

  // The following methods must be called on the log thread.

  /**
   * Returns the id of this replica.
   *
   * @since 0.2
   */
  public ReplicaId id() {
    return replica.id();
  }

  /**
   * Returns the current term.
   *
   * @since 0.2
   */
  public Term term() {
    return replica.term();
  }

  /**
   * Returns the members of the log.
   *
   * @since 0.2
   */
  public Membership membership() {
    return replica.membership();
  }

  /**
   * Returns whether this replica has to ask the leader to be admitted.
   *
   * @since 0.4
   */
  public boolean needsAdmission() {
    return replica.needsAdmission();
  }

  /**
   * Reports that the machine was suspended for a time that the monotonic clock did not count.
   *
   * @since 0.4
   */
  public void suspended(long nowMillis) {
    replica.suspended(nowMillis);
  }

  /**
   * Returns whether this replica leads under a valid lease and has applied all committed entries,
   * so that it can serve linearizable reads.
   *
   * @since 0.2
   */
  public boolean isAuthoritative(long nowMillis) {
    return replica.readIndex(nowMillis).map(index -> index.number() <= appliedIndex).orElse(false);
  }

  /**
   * Returns whether this replica leads under a valid lease and has applied all entries of earlier
   * terms, so that no other replica can act as leader and no earlier decision is missing from the
   * state. Unlike {@link #isAuthoritative}, this also holds while entries of the current term are
   * being applied.
   *
   * @since 0.3
   */
  public boolean holdsLease(long nowMillis) {
    return replica.readIndex(nowMillis).isPresent() && hasAppliedEarlierTerms();
  }

  private boolean hasAppliedEarlierTerms() {
    return replica.termStartIndex().map(start -> start.number() <= appliedIndex).orElse(false);
  }

  /**
   * Returns whether this replica is the leader.
   *
   * @since 0.2
   */
  public boolean isLeader() {
    return replica.isLeader();
  }

  // The following methods may be called from any thread.

  /**
   * Proposes a command on this replica.
   *
   * @return the result once the command is committed and applied; an error of kind UNAVAILABLE if
   *     nothing was proposed, of kind OVER_LIMIT if the command has more than {@link
   *     LogEntry#MAX_COMMAND_BYTES}, or OUTCOME_UNKNOWN if leadership was lost before the command
   *     was applied
   * @since 0.2
   */
  public Mono<R> propose(byte[] command) {
    return Mono.create(
        sink -> {
          if (duty.isCurrentThread()) {
            proposeOnLogThread(command, sink);
          } else if (!duty.offer(() -> proposeOnLogThread(command, sink))) {
            sink.error(notLeader());
          }
        });
  }

  /**
   * Runs a task on the log thread if this replica is known to have applied all committed entries.
   *
   * @return result of the task; an error of kind UNAVAILABLE if this replica cannot serve
   *     linearizable reads
   * @since 0.2
   */
  public <T> Mono<T> read(java.util.concurrent.Callable<T> task) {
    return duty.ask(
        () -> {
          if (!isAuthoritative(now())) {
            throw notLeader();
          }
          return task.call();
        });
  }

  /**
   * Proposes a membership change. It is rejected if this replica is not the leader or the change is
   * not safe now.
   *
   * @since 0.2
   */
  public void changeMembership(MembershipChange change) {
    duty.offer(
        () -> {
          // Callers retry membership changes, so no one waits for the result of this proposal.
          submittedProposals.add(null);
          perform(replica.changeMembership(change, now()));
        });
  }

  /**
   * Transfers leadership to another replica, if this replica is the leader.
   *
   * @since 0.3
   */
  public void transferLeadership() {
    duty.offer(Duty.Rank.FIRST, () -> perform(replica.transferLeadership(now())));
  }

  // The following methods are called on the log thread.

  private long now() {
    return dependencies.clock().nowMillis();
  }

  private void tick(long nowMillis) {
    perform(replica.tick(nowMillis));
    stateMachine.tick(nowMillis);
  }

  /** Runs the work of the state machine that follows a batch of tasks. */
  private final class AfterBatchHook implements Duty.Settling {

    @Override
    public void settle(long nowMillis) {
      stateMachine.afterBatch(nowMillis);
    }

    @Override
    public long dueMillis() {
      return stateMachine.afterBatchDueMillis();
    }
  }

  private void proposeOnLogThread(byte[] command, MonoSink<R> sink) {
    submittedProposals.add(sink);
    perform(replica.propose(command, now()));
  }

  /**
   * Performs actions in order. Actions that result from proposals of the state machine while it
   * applies an entry are queued behind them, so that a later write cannot overtake an earlier one.
   */
  private void perform(List<LogAction> actions) {
    queuedActions.addAll(actions);
    if (isPerforming) {
      return;
    }
    isPerforming = true;
    try {
      LogAction next;
      while ((next = queuedActions.poll()) != null) {
        perform(next);
      }
    } finally {
      isPerforming = false;
    }
  }

  private void perform(LogAction action) {
    if (action instanceof LogAction.Send send) {
      dependencies.transport().tell(send.to(), send.message());
    } else if (action instanceof LogAction.Persist persist) {
      persist(persist);
    } else if (action instanceof LogAction.Commit commit) {
      commit.entries().forEach(this::apply);
      stateMachine.onApplied(appliedIndex);
      snapshotIfDue();
    } else if (action instanceof LogAction.InstallSnapshot install) {
      restoreFrom(install.snapshot());
      LOG.info(
          "snapshot of the leader installed at entry {}, members {}",
          install.snapshot().index(),
          install.snapshot().membership().members());
      stateMachine.onApplied(appliedIndex);
    } else if (action instanceof LogAction.LeaderChanged change) {
      handleLeaderChange(change);
    } else if (action instanceof LogAction.ProposalAccepted accepted) {
      MonoSink<R> sink = submittedProposals.remove(0);
      if (sink != null) {
        pendingResults.put(accepted.first(), new PendingResult<>(accepted.term(), sink));
      }
    } else if (action instanceof LogAction.ProposalRefused refused) {
      MonoSink<R> sink = submittedProposals.remove(0);
      LOG.debug("proposal rejected: {}", refused.reason());
      if (sink != null) {
        boolean isTooLarge = refused.reason() == LogAction.ProposalRefused.Reason.TOO_LARGE;
        sink.error(isTooLarge ? tooLarge() : notLeader());
      }
    }
  }

  private void apply(LogEntry entry) {
    appliedIndex = entry.index().number();
    bytesSinceSnapshot += entry.sizeBytes();
    if (entry.membership() != null) {
      LOG.info(
          "members of the log as of entry {}: {}", entry.index(), entry.membership().members());
    }
    R result = entry.isCommand() ? applyCommand(entry) : null;
    PendingResult<R> waiting = pendingResults.remove(entry.index());
    if (waiting == null) {
      return;
    }
    if (result != null && waiting.term().equals(entry.term())) {
      waiting.sink().success(result);
    } else {
      waiting.sink().error(outcomeUnknown());
    }
  }

  /**
   * Applies an entry to the state machine. A failure must not prevent the entries after it from
   * being applied.
   */
  private R applyCommand(LogEntry entry) {
    try {
      return stateMachine.apply(entry);
    } catch (WireException e) {
      LOG.error("log entry {} cannot be decoded; skipping it", entry.index(), e);
    } catch (RuntimeException e) {
      LOG.error(
          "log entry {} could not be applied in full; continuing with the next one",
          entry.index(),
          e);
    }
    return null;
  }

  private void handleLeaderChange(LogAction.LeaderChanged change) {
    knownLeader = change.leader();
    LOG.info("leader of the replicated log is now {} in term {}", change.leader(), change.term());
    if (!replica.isLeader()) {
      List<PendingResult<R>> abandoned = List.copyOf(pendingResults.values());
      pendingResults.clear();
      abandoned.forEach(waiting -> waiting.sink().error(outcomeUnknown()));
    }
    stateMachine.onLeaderChanged(change.leader(), change.term());
  }

  private void snapshotIfDue() {
    if (isWritingSnapshot || !isSnapshotDue()) {
      return;
    }
    lastSnapshotIndex = appliedIndex;
    bytesSinceSnapshot = 0;
    LogIndex index = new LogIndex(appliedIndex);
    Supplier<byte[]> serializer = stateMachine.snapshot();
    isWritingSnapshot = snapshots.offer(() -> writeSnapshot(index, serializer));
  }

  /** A snapshot larger than the limit is due only once as much has been applied since. */
  private boolean isSnapshotDue() {
    return appliedIndex - lastSnapshotIndex >= SNAPSHOT_INTERVAL_ENTRIES
        || bytesSinceSnapshot >= Math.max(SNAPSHOT_INTERVAL_BYTES, lastSnapshotBytes);
  }

  private void snapshotWritten(LogIndex index, byte[] bytes) {
    isWritingSnapshot = false;
    lastSnapshotBytes = bytes.length;
    perform(replica.snapshotTaken(index, bytes, now()));
  }

  private void restoreFrom(LogSnapshot snapshot) {
    restore(snapshot.state());
    appliedIndex = snapshot.index().number();
    lastSnapshotIndex = appliedIndex;
    lastSnapshotBytes = snapshot.state().length;
    bytesSinceSnapshot = 0;
  }

  private void restore(byte[] bytes) {
    try {
      stateMachine.restore(bytes);
    } catch (WireException e) {
      throw new IllegalStateException("snapshot of the state machine cannot be decoded", e);
    }
  }

  // Called on the snapshot thread.

  private void writeSnapshot(LogIndex index, Supplier<byte[]> serializer) {
    try {
      byte[] bytes = serializer.get();
      duty.offer(Duty.Rank.ANSWER, () -> snapshotWritten(index, bytes));
    } catch (RuntimeException e) {
      LOG.error(
          "snapshot at index {} failed; keeping the log entries until the next snapshot", index, e);
      duty.offer(Duty.Rank.ANSWER, () -> isWritingSnapshot = false);
    }
  }

  // The following methods are called on the journal thread, except persist, which is called on the
  // log thread.

  private void persist(LogAction.Persist write) {
    if (!journal.offer(() -> append(write))) {
      dependencies
          .onStorageFailure()
          .accept(
              new StorageException(
                  "the ring buffer of the journal is full because the disk is too slow",
                  "use a faster disk",
                  ""));
    }
  }

  private void append(LogAction.Persist write) {
    if (storageFailed) {
      return;
    }
    try {
      dependencies.storage().write(write);
      unsynced.add(write);
      // Writes that arrive during this sync wait in the queue and share the next one.
      journal.offer(this::syncBatch);
    } catch (StorageException e) {
      failStorage(e);
    }
  }

  private void syncBatch() {
    if (unsynced.isEmpty() || storageFailed) {
      return;
    }
    try {
      dependencies.storage().sync();
    } catch (StorageException e) {
      failStorage(e);
      return;
    }
    long last = unsynced.get(unsynced.size() - 1).writeNumber();
    unsynced.clear();
    Runnable synced = () -> perform(replica.synced(last, now()));
    if (!duty.offer(Duty.Rank.FIRST, synced)) {
      // This report must not be lost: no other one says that these writes are durable.
      duty.offer(Duty.Rank.ANSWER, synced);
    }
  }

  private void failStorage(StorageException error) {
    storageFailed = true;
    LOG.error(
        "storage of the log failed; this replica writes and acknowledges nothing from now on",
        error);
    dependencies.onStorageFailure().accept(error);
  }

  static PrimrosegaugeException notLeader() {
    return new PrimrosegaugeException(
        ErrorKind.UNAVAILABLE,
        "this instance is not the leader of the replicated log",
        "send the request to the leader",
        "");
  }

  private static PrimrosegaugeException tooLarge() {
    return new PrimrosegaugeException(
        ErrorKind.OVER_LIMIT,
        "the request is larger than an entry of the log may be",
        "send a smaller request",
        "");
  }

  static PrimrosegaugeException outcomeUnknown() {
    return new PrimrosegaugeException(
        ErrorKind.OUTCOME_UNKNOWN,
        "the leader changed before the outcome of the request was known",
        "retry with the same request id to get the answer to the first request",
        "");
  }
}
