package org.primrosegauge.core.job;

import java.util.List;
import java.util.TreeSet;
import org.primrosegauge.core.InstanceId;

/** Entry of a {@link JobLedger}: a job's record and which peers acknowledged its newest version. */
final class LedgerEntry {

  private LedgerRecord record;
  private final TreeSet<InstanceId> acknowledgedPeers = new TreeSet<>();
  private boolean markLogged;
  private long lastSentMillis;
  private long finishedMillis;

  LedgerEntry(LedgerRecord record, long nowMillis) {
    this.record = record;
    markSent(nowMillis);
    finishedMillis = nowMillis;
  }

  LedgerRecord record() {
    return record;
  }

  /** Replaces the record and clears the acknowledgements, which were for the previous version. */
  void replace(LedgerRecord next, long nowMillis) {
    if (next.isFinal() && !record.isFinal()) {
      finishedMillis = nowMillis;
    }
    record = next;
    acknowledgedPeers.clear();
    markLogged = false;
    markSent(nowMillis);
  }

  void addAcknowledgement(InstanceId peer) {
    acknowledgedPeers.add(peer);
  }

  void markLogged() {
    markLogged = true;
  }

  boolean isLogged() {
    return markLogged;
  }

  int countAcknowledged(List<InstanceId> peers) {
    return (int) peers.stream().filter(acknowledgedPeers::contains).count();
  }

  List<InstanceId> unacknowledged(List<InstanceId> peers) {
    return peers.stream().filter(peer -> !acknowledgedPeers.contains(peer)).toList();
  }

  void markSent(long nowMillis) {
    lastSentMillis = nowMillis;
  }

  boolean isRetryDue(long nowMillis, long retryMillis) {
    return nowMillis - lastSentMillis >= retryMillis;
  }

  boolean isExpired(long nowMillis, long retentionMillis) {
    return record.isFinal() && nowMillis - finishedMillis >= retentionMillis;
  }
}
