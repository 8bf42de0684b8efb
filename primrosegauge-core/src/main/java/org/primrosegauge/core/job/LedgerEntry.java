package org.primrosegauge.core.job;

import java.util.List;
import java.util.TreeSet;
import org.primrosegauge.core.InstanceId;

/** One job of a {@link JobLedger}: its record and who holds the present version of it. */
final class LedgerEntry {

  private LedgerRecord record;
  private final TreeSet<InstanceId> holders = new TreeSet<>();
  private boolean logged;
  private long sentAt;
  private long finalAt;

  LedgerEntry(LedgerRecord record, long nowMillis) {
    this.record = record;
    markSent(nowMillis);
    finalAt = nowMillis;
  }

  LedgerRecord record() {
    return record;
  }

  /** Replaces the record; nobody holds the new version yet. */
  void replace(LedgerRecord next, long nowMillis) {
    if (next.isFinal() && !record.isFinal()) {
      finalAt = nowMillis;
    }
    record = next;
    holders.clear();
    logged = false;
    markSent(nowMillis);
  }

  void heldBy(InstanceId peer) {
    holders.add(peer);
  }

  void logged() {
    logged = true;
  }

  boolean isLogged() {
    return logged;
  }

  int holdersAmong(List<InstanceId> peers) {
    return (int) peers.stream().filter(holders::contains).count();
  }

  List<InstanceId> missing(List<InstanceId> peers) {
    return peers.stream().filter(peer -> !holders.contains(peer)).toList();
  }

  void markSent(long nowMillis) {
    sentAt = nowMillis;
  }

  boolean isDue(long nowMillis, long retryMillis) {
    return nowMillis - sentAt >= retryMillis;
  }

  boolean isExpired(long nowMillis, long answerMillis) {
    return record.isFinal() && nowMillis - finalAt >= answerMillis;
  }
}
