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
 * A replica of the log in this process: one thread runs the replica and the state that it is
 * applied to, a second one writes the journal and syncs it, a third one writes snapshots. Writes
 * that wait while a sync runs share the next one.
 *
 * <p>All state is touched on the log thread only. A failed write or sync ends the process's part in
 * the log for good: nothing is written again and nothing more is acknowledged.
 *
 * <p>Lifecycle: {@link #start}, {@link #close}.
 *
 * @param <R> what applying a command results in
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
   * What a replica needs of its process.
   *
   * @param storage durable storage
   * @param random source of election timeouts
   * @param clock source of the present
   * @param transport connections to the other replicas
   * @param onStorageFailure told once when the storage becomes unusable
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
  private boolean isWritingSnapshot;
  private volatile InstanceId knownLeader;

  // Touched by the journal thread only.
  private final List<LogAction.Persist> unsynced = new ArrayList<>();
  private boolean storageFailed;

  /**
   * Creates the replica from what the storage holds.
   *
   * @param ringCapacity most tasks that wait for either thread
   * @param sinceMillis a time by which any earlier life of this replica had ended, in the clock's
   *     milliseconds; the support that it may have promised to a leader counts from then
   * @throws StorageException when the storage cannot be recovered
   * @since 0.2
   */
  public ReplicatedLog(
      LogSettings settings,
      int ringCapacity,
      long sinceMillis,
      Dependencies ports,
      ReplicatedStateMachine<R> state)
      throws StorageException {
    this.dependencies = ports;
    this.stateMachine = state;
    this.duty =
        new Duty(
            "log",
            ringCapacity,
            TICK_MILLIS,
            ports.clock(),
            this::tick,
            () -> Long.MAX_VALUE,
            new AfterBatchHook());
    this.journal =
        new Duty("journal", ringCapacity, JOURNAL_TICK_MILLIS, ports.clock(), now -> syncBatch());
    this.snapshots =
        new Duty(
            "snapshot", SNAPSHOT_QUEUE_CAPACITY, SNAPSHOT_TICK_MILLIS, ports.clock(), now -> {});
    RecoveredLog recovered = ports.storage().recover();
    restoreFrom(recovered);
    this.replica = new LogReplica(settings, recovered, ports.random(), sinceMillis);
    ports
        .transport()
        .onTell(
            LogMessage.class,
            (from, message) ->
                duty.offer(Duty.Rank.FIRST, () -> perform(replica.received(from, message, now()))));
  }

  /**
   * Starts its threads.
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

  // Accessors; may be called from any thread

  /**
   * Returns the leader, as known; null when none is known.
   *
   * @since 0.2
   */
  public InstanceId leader() {
    return knownLeader;
  }

  /**
   * Returns the thread that owns the state.
   *
   * @since 0.2
   */
  public Duty duty() {
    return duty;
  }

  // Accessors for the log thread

  /**
   * Returns this replica's id.
   *
   * @since 0.2
   */
  public ReplicaId id() {
    return replica.id();
  }

  /**
   * Returns the present term.
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
   * Tells whether this replica leads under a valid lease and its state holds everything that is
   * committed, so that it may answer for all.
   *
   * @since 0.2
   */
  public boolean isAuthoritative(long nowMillis) {
    return replica.readIndex(nowMillis).map(index -> index.number() <= appliedIndex).orElse(false);
  }

  /**
   * Tells whether this replica leads under a valid lease and its state holds all of earlier terms,
   * so that no other can act and nothing was decided elsewhere that it does not know. Unlike {@link
   * #isAuthoritative} it also holds while the state is applying entries of the own term.
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
   * Tells whether this replica leads.
   *
   * @since 0.2
   */
  public boolean isLeader() {
    return replica.isLeader();
  }

  // Main API; may be called from any thread

  /**
   * Proposes a command at this replica.
   *
   * @return the result once it is committed and applied; an error of kind UNAVAILABLE when nothing
   *     was proposed; OUTCOME_UNKNOWN when leadership was lost meanwhile
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
   * Runs a task on the log thread once this replica is known to hold everything that is committed.
   *
   * @return the task's result; an error of kind UNAVAILABLE when this replica may not answer
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
   * Changes the membership, if the replica leads and the change is safe now.
   *
   * @since 0.2
   */
  public void changeMembership(MembershipChange change) {
    duty.offer(
        () -> {
          // A change is retried by its caller, so nobody waits for this proposal.
          submittedProposals.add(null);
          perform(replica.changeMembership(change, now()));
        });
  }

  /**
   * Stops leading, if this replica leads, so that another is elected at once.
   *
   * @since 0.3
   */
  public void transferLeadership() {
    duty.offer(Duty.Rank.FIRST, () -> perform(replica.transferLeadership(now())));
  }

  // Log thread

  private long now() {
    return dependencies.clock().nowMillis();
  }

  private void tick(long nowMillis) {
    perform(replica.tick(nowMillis));
    stateMachine.tick(nowMillis);
  }

  /** What the state does once for a batch of tasks. */
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
   * Carries actions out in their order. What the state proposes while it applies an entry follows
   * after them: a later write must not overtake an earlier one.
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
      restore(install.snapshot().state());
      appliedIndex = install.snapshot().index().number();
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
      LOG.debug("proposal refused: {}", refused.reason());
      if (sink != null) {
        sink.error(notLeader());
      }
    }
  }

  private void apply(LogEntry entry) {
    appliedIndex = entry.index().number();
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

  /** Hands an entry to the state; one that it cannot handle must not stop those behind it. */
  private R applyCommand(LogEntry entry) {
    try {
      return stateMachine.apply(entry);
    } catch (WireException e) {
      LOG.error("entry {} of the log cannot be read and is skipped", entry.index(), e);
    } catch (RuntimeException e) {
      LOG.error("entry {} of the log could not be applied in full", entry.index(), e);
    }
    return null;
  }

  private void handleLeaderChange(LogAction.LeaderChanged change) {
    knownLeader = change.leader();
    LOG.info("leader of the replicated log is {} in term {}", change.leader(), change.term());
    if (!replica.isLeader()) {
      List<PendingResult<R>> lost = List.copyOf(pendingResults.values());
      pendingResults.clear();
      lost.forEach(waiting -> waiting.sink().error(outcomeUnknown()));
    }
    stateMachine.onLeaderChanged(change.leader(), change.term());
  }

  private void snapshotIfDue() {
    if (isWritingSnapshot || appliedIndex - lastSnapshotIndex < SNAPSHOT_INTERVAL_ENTRIES) {
      return;
    }
    lastSnapshotIndex = appliedIndex;
    LogIndex index = new LogIndex(appliedIndex);
    Supplier<byte[]> frozen = stateMachine.snapshot();
    isWritingSnapshot = snapshots.offer(() -> writeSnapshot(index, frozen));
  }

  private void snapshotWritten(LogIndex index, byte[] bytes) {
    isWritingSnapshot = false;
    perform(replica.snapshotTaken(index, bytes, now()));
  }

  private void restoreFrom(RecoveredLog recovered) {
    if (recovered.snapshot() != null) {
      restore(recovered.snapshot().state());
      appliedIndex = recovered.snapshot().index().number();
      lastSnapshotIndex = appliedIndex;
    }
  }

  private void restore(byte[] bytes) {
    try {
      stateMachine.restore(bytes);
    } catch (WireException e) {
      throw new IllegalStateException("the snapshot of the state cannot be read", e);
    }
  }

  // Snapshot thread

  private void writeSnapshot(LogIndex index, Supplier<byte[]> frozen) {
    try {
      byte[] bytes = frozen.get();
      duty.offer(Duty.Rank.ANSWER, () -> snapshotWritten(index, bytes));
    } catch (RuntimeException e) {
      LOG.error("no snapshot at {}; the log is kept until the next one", index, e);
      duty.offer(Duty.Rank.ANSWER, () -> isWritingSnapshot = false);
    }
  }

  // Journal thread

  private void persist(LogAction.Persist write) {
    if (!journal.offer(() -> append(write))) {
      dependencies
          .onStorageFailure()
          .accept(new StorageException("the journal ring is full", "use a faster disk", ""));
    }
  }

  private void append(LogAction.Persist write) {
    if (storageFailed) {
      return;
    }
    try {
      dependencies.storage().write(write);
      unsynced.add(write);
      // Writes that are offered while this one syncs wait in the ring and share the next sync.
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
      // Nothing else tells that these writes are durable.
      duty.offer(Duty.Rank.ANSWER, synced);
    }
  }

  private void failStorage(StorageException error) {
    storageFailed = true;
    LOG.error("the storage of the log is unusable from now on", error);
    dependencies.onStorageFailure().accept(error);
  }

  static PrimrosegaugeException notLeader() {
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
