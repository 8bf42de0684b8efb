package org.primrosegauge.core.log.impl;

import java.util.ArrayDeque;
import java.util.Queue;
import org.primrosegauge.core.log.LogSnapshot;
import org.primrosegauge.core.log.StorageId;

/**
 * What a leader knows of a follower.
 *
 * <p>Single-threaded; lives as long as the leader's term.
 *
 * @since 0.1
 */
final class FollowerProgress {

  /** Send time before anything was acknowledged. */
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

  /** Returns the snapshot that is being sent; null when none. */
  LogSnapshot snapshot() {
    return snapshot;
  }

  long chunkSentMillis() {
    return chunkSentMillis;
  }

  int snapshotOffset() {
    return snapshotOffset;
  }

  /** Notes an answer; forgets everything when the follower's data folder is another. */
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

  /** Starts sending a snapshot. */
  void startSnapshot(LogSnapshot started) {
    snapshot = started;
    snapshotOffset = 0;
    chunkSentMillis = NEVER;
  }

  void recordChunkSent(long nowMillis) {
    chunkSentMillis = nowMillis;
  }

  /** Notes the next missing byte of the snapshot; the next part may follow at once. */
  void recordChunkAcked(int nextOffset) {
    snapshotOffset = nextOffset;
    chunkSentMillis = NEVER;
  }

  private void restartProbing(long to) {
    nextIndex = Math.max(matchIndex + 1, to);
    inFlight.clear();
    inFlightBytes = 0;
    probing = true;
    snapshot = null;
  }
}
