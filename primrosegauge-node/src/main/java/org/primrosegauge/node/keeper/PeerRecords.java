package org.primrosegauge.node.keeper;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.job.LedgerRecord;
import org.primrosegauge.node.duty.Duty;
import org.primrosegauge.node.job.JobMessage;
import org.primrosegauge.node.transport.PeerTransport;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads the job records that the other instances of the domain hold, when this one has started or
 * has become keeper. Those of a domain that was cut off are nowhere else.
 *
 * <p>Single-threaded; owned by the keeper duty. Answers come back through the duty's ring.
 */
final class PeerRecords {

  private static final Logger LOG = LoggerFactory.getLogger(PeerRecords.class);
  private static final int PAGE = 64;
  private static final long RETRY_MILLIS = 500;
  private static final Duration PEER_TIMEOUT = Duration.ofMillis(400);

  private final List<InstanceId> peers;
  private final PeerTransport transport;
  private final Duty duty;
  private final Consumer<List<LedgerRecord>> reader;

  /** Peers that still hold unread records, with the job up to which theirs are read. */
  private final Map<InstanceId, String> unread = new HashMap<>();

  private long nextMillis;

  PeerRecords(
      List<InstanceId> peers,
      PeerTransport transport,
      Duty duty,
      Consumer<List<LedgerRecord>> reader) {
    this.peers = List.copyOf(peers);
    this.transport = transport;
    this.duty = duty;
    this.reader = reader;
    begin();
  }

  /** Reads everything from now on, at the next tick. */
  void begin() {
    peers.forEach(peer -> unread.put(peer, ""));
    nextMillis = Long.MIN_VALUE;
  }

  /** Tells whether the records of all peers have been read. */
  boolean isComplete() {
    return unread.isEmpty();
  }

  /** Asks the peers that have not answered. */
  void tick(long nowMillis) {
    if (unread.isEmpty() || nowMillis < nextMillis) {
      return;
    }
    nextMillis = nowMillis + RETRY_MILLIS;
    Map.copyOf(unread).forEach(this::ask);
  }

  private void ask(InstanceId peer, String after) {
    transport
        .ask(peer, new JobMessage.ReadRecords(after, PAGE), JobMessage.Records.class, PEER_TIMEOUT)
        .subscribe(
            page -> duty.offer(() -> take(peer, after, page.records())),
            error -> LOG.debug("peer {} did not send its records: {}", peer, error.getMessage()));
  }

  private void take(InstanceId peer, String after, List<LedgerRecord> page) {
    if (!after.equals(unread.get(peer))) {
      return;
    }
    reader.accept(page);
    if (page.size() < PAGE) {
      unread.remove(peer);
      return;
    }
    String last = page.get(page.size() - 1).spec().id().value();
    unread.put(peer, last);
    ask(peer, last);
  }
}
