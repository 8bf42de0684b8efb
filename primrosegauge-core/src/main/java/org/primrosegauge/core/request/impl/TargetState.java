package org.primrosegauge.core.request.impl;

import org.primrosegauge.core.TargetId;
import org.primrosegauge.core.request.AttemptOutcome;
import org.primrosegauge.core.request.TargetAnnouncement;
import org.primrosegauge.core.request.TargetLoad;
import org.primrosegauge.core.request.cfg.RouterSettings;

/**
 * Slots and health of an executor that is attached to this instance.
 *
 * <p>A slot is in use from the dispatch to the reported outcome. After an outcome that leaves open
 * whether the executor still works, the slot stays counted as lingering until a renewal shows that
 * the executor has fewer requests in progress.
 *
 * @since 0.1
 */
public final class TargetState {

  private static final double FAILURE_WEIGHT = 0.2;
  private static final double FAILURE_PENALTY_SLOTS = 8;

  private final RouterSettings settings;
  private TargetAnnouncement announcement;
  private long expiryMillis;
  private boolean leaving;
  private int inFlight;
  private int lingering;
  private int failuresInRow;
  private double failureRate;
  private boolean ejected;
  private boolean probing;
  private long probeMillis;
  private long probeDelayMillis;

  /** Creates the state from a first announcement. */
  public TargetState(TargetAnnouncement announcement, RouterSettings settings, long nowMillis) {
    this.settings = settings;
    this.announcement = announcement;
    attach(announcement, nowMillis);
  }

  /** Takes over an announcement of an executor that was not attached. */
  public void attach(TargetAnnouncement latest, long nowMillis) {
    lingering = Math.max(0, latest.inProgress() - inFlight);
    leaving = false;
    accept(latest, nowMillis);
  }

  /** Takes over a renewal. */
  public void renew(TargetAnnouncement latest, long nowMillis) {
    lingering = Math.min(lingering, Math.max(0, latest.inProgress() - inFlight));
    accept(latest, nowMillis);
  }

  private void accept(TargetAnnouncement latest, long nowMillis) {
    announcement = latest;
    expiryMillis = nowMillis + latest.leaseMillis();
    leaving = latest.leaving();
  }

  /** Notes that the executor gets nothing new until it says otherwise. */
  public void markLeaving() {
    leaving = true;
  }

  /** Returns the executor. */
  public TargetId id() {
    return announcement.id();
  }

  /** Returns the last announcement. */
  public TargetAnnouncement announcement() {
    return announcement;
  }

  /** Returns when the lease ends, in milliseconds. */
  public long expiryMillis() {
    return expiryMillis;
  }

  /** Returns the slots in use, lingering ones included. */
  public int occupied() {
    return inFlight + lingering;
  }

  /** Returns the attempts whose outcome was not reported. */
  public int inFlight() {
    return inFlight;
  }

  /** Tells whether the executor may get something new, as far as lease and orders go. */
  public boolean isLive(long nowMillis) {
    return !leaving && nowMillis < expiryMillis;
  }

  /** Tells whether the executor is live and was not ejected for its failures. */
  public boolean isHealthy(long nowMillis) {
    return isLive(nowMillis) && !ejected;
  }

  /** Tells whether the executor is ejected and may get one request to show itself. */
  public boolean isProbeDue(long nowMillis) {
    return isLive(nowMillis) && ejected && !probing && nowMillis >= probeMillis && hasSlot();
  }

  /** Returns when the next probe is due, in milliseconds; meaningful while ejected. */
  public long probeMillis() {
    return probeMillis;
  }

  /** Tells whether a slot is free. */
  public boolean hasSlot() {
    return occupied() < announcement.capacity();
  }

  /** Returns the number of free slots. */
  public int freeSlots() {
    return Math.max(0, announcement.capacity() - occupied());
  }

  /** Returns the load with recent failures weighed in; the least is chosen. */
  public double score() {
    return occupied() + failureRate * FAILURE_PENALTY_SLOTS;
  }

  /** Returns load and state, for operators. */
  public TargetLoad load(long nowMillis) {
    TargetLoad.State state = ejected ? TargetLoad.State.FAILING : TargetLoad.State.READY;
    return new TargetLoad(
        id(),
        announcement.domain(),
        isLive(nowMillis) ? state : TargetLoad.State.LEAVING,
        occupied(),
        announcement.capacity());
  }

  /** Takes a slot. */
  public void take() {
    inFlight++;
    probing = ejected;
  }

  /** Gives the slot of an attempt back and judges the executor by the outcome. */
  public void release(AttemptOutcome outcome, double jitter, long nowMillis) {
    inFlight--;
    if (outcome.mayStillRun()) {
      lingering++;
    }
    failureRate += FAILURE_WEIGHT * ((outcome.isFailure() ? 1 : 0) - failureRate);
    if (outcome.isFailure()) {
      noteFailure(jitter, nowMillis);
    } else {
      failuresInRow = 0;
      ejected = false;
      probing = false;
      probeDelayMillis = 0;
    }
  }

  private void noteFailure(double jitter, long nowMillis) {
    failuresInRow++;
    boolean probeFailed = ejected && probing;
    boolean newlyEjected = !ejected && failuresInRow >= settings.failuresToEject();
    if (!probeFailed && !newlyEjected) {
      return;
    }
    ejected = true;
    probing = false;
    probeDelayMillis =
        probeDelayMillis == 0
            ? settings.probeDelayMillis()
            : Math.min(2 * probeDelayMillis, settings.maxProbeDelayMillis());
    probeMillis = nowMillis + (long) (probeDelayMillis * jitter);
  }
}
