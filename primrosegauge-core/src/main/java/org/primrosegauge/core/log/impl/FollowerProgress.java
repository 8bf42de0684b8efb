package org.primrosegauge.core.log.impl;

import java.util.ArrayDeque;
import java.util.Queue;
import org.primrosegauge.core.log.LogSnapshot;
import org.primrosegauge.core.log.StorageId;

/**
 * Replication progress of a follower, as known to the leader.
 *
 * <p>Not thread-safe. Valid for one term of the leader.
 *
 * @since 0.1
 */
final class FollowerProgress {

  /** Value of send times while nothing has been acknowledged. */
  static final long NEVER = Long.MIN_VALUE / 2;

  private record Batch(long lastIndex, int bytes) {}

  private final Queue<Batch> inFlight = new ArrayDeque<>();
  private StorageId storage;
  private long matchIndex;
  private long nextIndex;
  private int inFlightBytes;
  private boolean probing = true;
  private long ackedSentMillis = NEVER;
  private LogSnapshot snapshot;
  private int snapshotOffset;
  private long chunkSentMillis = NEVER;

  FollowerProgress(long next) {
    this.nextIndex = next;
  }

  StorageId storage() {
    return storage;
  }

  long matchIndex() {
    return matchIndex;
  }

  long nextIndex() {
    return nextIndex;
  }

  boolean isProbing() {
    return probing;
  }

  int inFlightBytes() {
    return inFlightBytes;
  }

  long ackedSentMillis() {
    return ackedSentMillis;
  }

  /** Returns the snapshot that is being sent; null if there is none. */
  LogSnapshot snapshot() {
    return snapshot;
  }

  long chunkSentMillis() {
    return chunkSentMillis;
  }

  int snapshotOffset() {
    return snapshotOffset;
  }

  /** Records a reply. Progress is reset if the reply comes from another data folder than before. */
  void recordReply(StorageId from, long sentMillis) {
    if (!from.equals(storage)) {
      storage = from;
      matchIndex = 0;
      ackedSentMillis = NEVER;
      restartProbing(nextIndex);
    }
    ackedSentMillis = Math.max(ackedSentMillis, sentMillis);
  }

  void recordSent(long lastIndex, int bytes) {
    inFlight.add(new Batch(lastIndex, bytes));
    inFlightBytes += bytes;
    nextIndex = lastIndex + 1;
  }

  void recordAccepted(long index) {
    matchIndex = Math.max(matchIndex, index);
    nextIndex = Math.max(nextIndex, matchIndex + 1);
    probing = false;
    while (!inFlight.isEmpty() && inFlight.peek().lastIndex() <= matchIndex) {
      inFlightBytes -= inFlight.remove().bytes();
    }
    if (snapshot != null && matchIndex >= snapshot.index().number()) {
      snapshot = null;
    }
  }

  void recordRejected(long hint) {
    if (snapshot != null) {
      return;
    }
    restartProbing(Math.min(nextIndex, hint + 1));
  }

  /** Starts the transfer of a snapshot. */
  void startSnapshot(LogSnapshot newSnapshot) {
    snapshot = newSnapshot;
    snapshotOffset = 0;
    chunkSentMillis = NEVER;
  }

  void recordChunkSent(long nowMillis) {
    chunkSentMillis = nowMillis;
  }

  /**
   * Records the offset of the next missing byte of the snapshot, so that the next chunk may be sent
   * without delay.
   */
  void recordChunkAcked(int nextOffset) {
    snapshotOffset = nextOffset;
    chunkSentMillis = NEVER;
  }

  private void restartProbing(long fromIndex) {
    nextIndex = Math.max(matchIndex + 1, fromIndex);
    inFlight.clear();
    inFlightBytes = 0;
    probing = true;
    snapshot = null;
  }
}
