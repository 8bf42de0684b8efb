package org.primrosegauge.core.request.impl;

import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.request.PeerLoad;

/**
 * What a peer last said of its slots for one service, less what was forwarded since.
 *
 * @since 0.1
 */
public final class PeerState {

  private final InstanceId id;
  private final FailureDomainId domain;
  private int freeSlots;
  private int totalSlots;
  private long heardMillis;

  /** Creates the state from a first report. */
  public PeerState(PeerLoad load, long nowMillis) {
    id = load.peer();
    domain = load.domain();
    update(load, nowMillis);
  }

  /** Takes over a report. */
  public void update(PeerLoad load, long nowMillis) {
    freeSlots = load.freeSlots();
    totalSlots = load.totalSlots();
    heardMillis = nowMillis;
  }

  /** Returns the peer. */
  public InstanceId id() {
    return id;
  }

  /** Returns the failure domain of the peer. */
  public FailureDomainId domain() {
    return domain;
  }

  /** Returns the slots believed free. */
  public int freeSlots() {
    return freeSlots;
  }

  /** Returns all slots of the peer. */
  public int totalSlots() {
    return totalSlots;
  }

  /** Returns when the last report came, in milliseconds. */
  public long heardMillis() {
    return heardMillis;
  }

  /** Notes that a request was forwarded. */
  public void takeSlot() {
    freeSlots--;
  }

  /** Notes that the peer has no slot until it says otherwise. */
  public void markFull() {
    freeSlots = 0;
  }
}
