package org.primrosegauge.core.keeper;

import java.util.List;
import java.util.TreeSet;
import org.primrosegauge.core.InstanceId;

/** The last request of a holder to its peers, and who has granted it. */
final class RenewalRound {

  private long number;
  private long sentAt;
  private final TreeSet<InstanceId> grants = new TreeSet<>();

  void restore(long number, long sentAt, List<InstanceId> grants) {
    this.number = number;
    this.sentAt = sentAt;
    this.grants.addAll(grants);
  }

  long number() {
    return number;
  }

  long sentAt() {
    return sentAt;
  }

  List<InstanceId> grants() {
    return List.copyOf(grants);
  }

  void open(long nowMillis) {
    number++;
    sentAt = nowMillis;
    grants.clear();
  }

  /** Makes grants that are still under way count for nothing. */
  void abandon() {
    number++;
    grants.clear();
  }

  /** Forgets the rounds of an earlier term. */
  void reset() {
    number = 0;
    grants.clear();
  }

  void granted(InstanceId peer) {
    grants.add(peer);
  }

  boolean isComplete(List<InstanceId> required, InstanceId self) {
    return number > 0
        && required.stream().allMatch(peer -> peer.equals(self) || grants.contains(peer));
  }
}
