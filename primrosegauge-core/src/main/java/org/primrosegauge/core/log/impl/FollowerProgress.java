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
  private long matched;
  private long next;
  private int inFlightBytes;
  private boolean probing = true;
  private long ackedSentMillis = NEVER;
  private LogSnapshot snapshot;
  private int snapshotOffset;
  private long chunkSentMillis = NEVER;

  FollowerProgress(long next) {
    this.next = next;
  }

  StorageId storage() {
    return storage;
  }

  long matched() {
    return matched;
  }

  long next() {
    return next;
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
  void heard(StorageId from, long sentMillis) {
    if (!from.equals(storage)) {
      storage = from;
      matched = 0;
      ackedSentMillis = NEVER;
      rewind(next);
    }
    ackedSentMillis = Math.max(ackedSentMillis, sentMillis);
  }

  void sent(long lastIndex, int bytes) {
    inFlight.add(new Batch(lastIndex, bytes));
    inFlightBytes += bytes;
    next = lastIndex + 1;
  }

  void accepted(long index) {
    matched = Math.max(matched, index);
    next = Math.max(next, matched + 1);
    probing = false;
    while (!inFlight.isEmpty() && inFlight.peek().lastIndex() <= matched) {
      inFlightBytes -= inFlight.remove().bytes();
    }
    if (snapshot != null && matched >= snapshot.index().number()) {
      snapshot = null;
    }
  }

  void rejected(long hint) {
    if (snapshot != null) {
      return;
    }
    rewind(Math.min(next, hint + 1));
  }

  /** Starts sending a snapshot. */
  void startSnapshot(LogSnapshot started) {
    snapshot = started;
    snapshotOffset = 0;
    chunkSentMillis = NEVER;
  }

  void chunkSent(long nowMillis) {
    chunkSentMillis = nowMillis;
  }

  /** Notes the next missing byte of the snapshot; the next part may follow at once. */
  void chunkAcked(int nextOffset) {
    snapshotOffset = nextOffset;
    chunkSentMillis = NEVER;
  }

  private void rewind(long to) {
    next = Math.max(matched + 1, to);
    inFlight.clear();
    inFlightBytes = 0;
    probing = true;
    snapshot = null;
  }
}
