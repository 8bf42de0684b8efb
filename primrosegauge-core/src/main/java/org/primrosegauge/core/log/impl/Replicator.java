package org.primrosegauge.core.log.impl;

import java.util.List;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.Term;
import org.primrosegauge.core.log.LogEntry;
import org.primrosegauge.core.log.LogIndex;
import org.primrosegauge.core.log.LogMessage.AppendRequest;
import org.primrosegauge.core.log.LogMessage.SnapshotChunk;
import org.primrosegauge.core.log.LogSnapshot;

/**
 * Sends entries and snapshots to followers and limits the data in flight to each of them.
 *
 * <p>A follower that does not reply receives heartbeats only. Entries follow once a heartbeat has
 * found the index up to which its log matches.
 *
 * <p>Not thread-safe. There is one replicator per leader.
 */
final class Replicator {

  private final ReplicaContext context;

  Replicator(ReplicaContext context) {
    this.context = context;
  }

  /** Sends an append request without entries. */
  void heartbeat(InstanceId to, FollowerProgress progress, long nowMillis) {
    long previous = Math.max(progress.nextIndex() - 1, context.log().baseIndex());
    sendAppend(to, previous, List.of(), nowMillis);
  }

  /** Sends what the follower is missing, within the limit of data in flight. */
  void send(InstanceId to, FollowerProgress progress, long nowMillis) {
    if (progress.snapshot() != null) {
      sendChunk(to, progress, nowMillis);
    } else if (progress.storage() != null
        && progress.nextIndex() <= context.log().baseIndex()
        && context.log().snapshot() != null) {
      progress.startSnapshot(context.log().snapshot());
      sendChunk(to, progress, nowMillis);
    } else if (!progress.isProbing()) {
      sendEntries(to, progress, nowMillis);
    }
  }

  private void sendEntries(InstanceId to, FollowerProgress progress, long nowMillis) {
    int maxInFlightBytes = context.settings().maxInFlightBytes();
    while (progress.nextIndex() <= context.log().lastIndex()
        && progress.inFlightBytes() < maxInFlightBytes) {
      long previous = progress.nextIndex() - 1;
      List<LogEntry> entries = context.log().batch(previous, context.settings().maxBatchBytes());
      sendAppend(to, previous, entries, nowMillis);
      int bytes = entries.stream().mapToInt(LogEntry::sizeBytes).sum();
      progress.recordSent(previous + entries.size(), bytes);
    }
  }

  private void sendAppend(InstanceId to, long previous, List<LogEntry> entries, long nowMillis) {
    Term previousTerm = context.log().termAt(previous);
    AppendRequest request =
        new AppendRequest(
            context.term(),
            context.self().storage(),
            new LogIndex(previous),
            previousTerm,
            new LogIndex(context.committed()),
            nowMillis,
            entries);
    context.outbox().send(to, request);
  }

  private void sendChunk(InstanceId to, FollowerProgress progress, long nowMillis) {
    if (nowMillis < progress.chunkSentMillis() + context.settings().electionMinMillis()) {
      return;
    }
    LogSnapshot whole = progress.snapshot();
    int offset = progress.snapshotOffset();
    byte[] chunkBytes =
        Follower.chunkOf(whole.state(), offset, context.settings().snapshotChunkBytes());
    LogSnapshot head =
        new LogSnapshot(
            whole.index(), whole.term(), whole.logMillis(), whole.membership(), chunkBytes);
    SnapshotChunk chunk =
        new SnapshotChunk(
            context.term(),
            context.self().storage(),
            head,
            offset,
            whole.state().length,
            nowMillis);
    context.outbox().send(to, chunk);
    progress.recordChunkSent(nowMillis);
  }
}
