package org.primrosegauge.core.log.impl;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.Term;
import org.primrosegauge.core.log.LogAction;
import org.primrosegauge.core.log.LogEntry;
import org.primrosegauge.core.log.LogIndex;
import org.primrosegauge.core.log.LogMessage.AppendReply;
import org.primrosegauge.core.log.LogMessage.AppendRequest;
import org.primrosegauge.core.log.LogMessage.SnapshotChunk;
import org.primrosegauge.core.log.LogMessage.SnapshotReply;
import org.primrosegauge.core.log.LogSnapshot;

/**
 * Follower role: receives entries and snapshots from the leader of the current term.
 *
 * <p>Not thread-safe. There is one follower per replica.
 *
 * @since 0.1
 */
public final class Follower {

  private final ReplicaContext context;
  private LogSnapshot incomingSnapshot;
  private byte[] incomingState;
  private int incomingOffset;

  /**
   * Creates a follower that has received nothing yet.
   *
   * @since 0.1
   */
  public Follower(ReplicaContext context) {
    this.context = context;
  }

  /** Handles entries from the leader of the current term. */
  public void received(InstanceId from, AppendRequest request) {
    if (!isConsistent(request)) {
      reply(from, false, lastPossibleMatch(request), request.sentMillis());
      return;
    }
    long last = request.previousIndex().number() + request.entries().size();
    List<LogEntry> missing = newEntries(request.entries());
    if (!missing.isEmpty()) {
      context.append(missing);
    }
    context.commit(Math.min(request.committed().number(), last));
    reply(from, true, last, request.sentMillis());
  }

  /** Handles a snapshot chunk from the leader of the current term. */
  public void received(InstanceId from, SnapshotChunk chunk) {
    LogSnapshot head = chunk.snapshot();
    if (head.index().number() <= context.committed()) {
      reply(from, true, head.index().number(), chunk.sentMillis());
      return;
    }
    appendChunk(chunk);
    if (incomingOffset < chunk.totalBytes()) {
      SnapshotReply next =
          new SnapshotReply(
              context.term(),
              context.self().storage(),
              head.index(),
              incomingOffset,
              chunk.sentMillis());
      context.outbox().send(from, next);
      return;
    }
    install(
        new LogSnapshot(
            head.index(), head.term(), head.logMillis(), head.membership(), incomingState));
    incomingSnapshot = null;
    incomingState = null;
    reply(from, true, head.index().number(), chunk.sentMillis());
  }

  private boolean isConsistent(AppendRequest request) {
    long previous = request.previousIndex().number();
    if (previous <= context.committed()) {
      return true;
    }
    Term term = context.log().termAt(previous);
    return term != null && term.equals(request.previousTerm());
  }

  private long lastPossibleMatch(AppendRequest request) {
    long previous = request.previousIndex().number();
    if (previous > context.log().lastIndex()) {
      return context.log().lastIndex();
    }
    // Skipping all entries of the conflicting term takes one round trip per term instead of one per
    // entry.
    return Math.max(context.committed(), context.log().firstIndexOfTermAt(previous) - 1);
  }

  private List<LogEntry> newEntries(List<LogEntry> entries) {
    List<LogEntry> missing = new ArrayList<>();
    for (LogEntry entry : entries) {
      long index = entry.index().number();
      if (!missing.isEmpty()) {
        missing.add(entry);
      } else if (index > context.committed() && !entry.term().equals(context.log().termAt(index))) {
        missing.add(entry);
      }
    }
    return missing;
  }

  private void appendChunk(SnapshotChunk chunk) {
    LogSnapshot head = chunk.snapshot();
    boolean continuesIncoming =
        incomingSnapshot != null
            && incomingSnapshot.index().equals(head.index())
            && incomingSnapshot.term().equals(head.term())
            && incomingState.length == chunk.totalBytes();
    if (!continuesIncoming) {
      incomingSnapshot = head;
      incomingState = new byte[chunk.totalBytes()];
      incomingOffset = 0;
    }
    if (chunk.offset() == incomingOffset) {
      byte[] chunkBytes = head.state();
      System.arraycopy(chunkBytes, 0, incomingState, incomingOffset, chunkBytes.length);
      incomingOffset += chunkBytes.length;
    }
  }

  private void install(LogSnapshot snapshot) {
    long index = snapshot.index().number();
    if (snapshot.term().equals(context.log().termAt(index))) {
      context.commit(index);
      return;
    }
    context.log().reset(snapshot);
    context.advanceCommittedTo(snapshot.index());
    context.outbox().persist(snapshot, false, index);
    context.outbox().add(new LogAction.InstallSnapshot(snapshot));
  }

  private void reply(InstanceId to, boolean accepted, long index, long sentMillis) {
    AppendReply reply =
        new AppendReply(
            context.term(), context.self().storage(), accepted, new LogIndex(index), sentMillis);
    context.outbox().sendWhenDurable(to, reply);
  }

  /** Returns the chunk of a serialized state that starts at an offset. */
  static byte[] chunkOf(byte[] state, int offset, int maxBytes) {
    return Arrays.copyOfRange(state, offset, Math.min(state.length, offset + maxBytes));
  }
}
