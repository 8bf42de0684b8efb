package org.primrosegauge.core.request.impl;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;

/**
 * Requests by the time at which they need attention, and the ends of leases.
 *
 * @since 0.1
 */
public final class WakeQueue {

  private static final Comparator<ActiveRequest> BY_TIME =
      Comparator.comparingLong(ActiveRequest::wakeMillis).thenComparingLong(ActiveRequest::order);

  private final TreeSet<ActiveRequest> requests = new TreeSet<>(BY_TIME);
  private final TreeSet<Long> leaseEnds = new TreeSet<>();

  /** Sets when a request needs attention, in place of any earlier time. */
  public void schedule(ActiveRequest request, long wakeMillis) {
    requests.remove(request);
    request.wakeAt(wakeMillis);
    requests.add(request);
  }

  /** Forgets a request. */
  public void cancel(ActiveRequest request) {
    requests.remove(request);
  }

  /** Notes the end of a lease. */
  public void addLease(long endMillis) {
    leaseEnds.add(endMillis);
  }

  /** Returns the earliest time; {@link Long#MAX_VALUE} when there is none. */
  public long nextMillis() {
    long request = requests.isEmpty() ? Long.MAX_VALUE : requests.first().wakeMillis();
    return leaseEnds.isEmpty() ? request : Math.min(request, leaseEnds.first());
  }

  /** Removes and returns the requests that are due. */
  public List<ActiveRequest> takeDue(long nowMillis) {
    leaseEnds.headSet(nowMillis, true).clear();
    List<ActiveRequest> due = new ArrayList<>();
    while (!requests.isEmpty() && requests.first().wakeMillis() <= nowMillis) {
      due.add(requests.pollFirst());
    }
    return due;
  }
}
