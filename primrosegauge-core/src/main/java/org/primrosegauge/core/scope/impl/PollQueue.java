package org.primrosegauge.core.scope.impl;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Queue of the sessions that may have to be polled: those that have changed and those whose next
 * poll time has come. No other session needs to be examined.
 *
 * <p>Not thread-safe.
 */
final class PollQueue {

  private final Set<WorkerSession> ready = new LinkedHashSet<>();
  private final TimerQueue<WorkerSession> delayed = new TimerQueue<>();

  void clear() {
    ready.clear();
    delayed.clear();
  }

  /** Adds a session after a change that may make a poll due. */
  void enqueue(WorkerSession session) {
    ready.add(session);
  }

  /** Schedules a session to be taken again at the time of its next poll. */
  void enqueueDelayed(WorkerSession session) {
    if (session.nextPollMillis < session.queuedPollMillis) {
      session.queuedPollMillis = session.nextPollMillis;
      delayed.add(session, session.nextPollMillis);
    }
  }

  /** Removes and returns the sessions that may have to be polled. */
  List<WorkerSession> take(long nowMillis) {
    Optional<WorkerSession> next = delayed.take(nowMillis);
    while (next.isPresent()) {
      next.get().queuedPollMillis = Long.MAX_VALUE;
      ready.add(next.get());
      next = delayed.take(nowMillis);
    }
    List<WorkerSession> taken = new ArrayList<>(ready);
    ready.clear();
    return taken;
  }
}
