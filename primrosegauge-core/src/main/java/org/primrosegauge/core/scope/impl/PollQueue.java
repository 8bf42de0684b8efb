package org.primrosegauge.core.scope.impl;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Sessions at which a look may be due: those that something has changed for, and those whose time
 * has come. All others need not be asked.
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

  /** Notes that something has changed that decides whether a look is due. */
  void enqueue(WorkerSession session) {
    ready.add(session);
  }

  /** Has a session taken out again at the time of its next look. */
  void enqueueDelayed(WorkerSession session) {
    if (session.nextPollMillis < session.queuedPollMillis) {
      session.queuedPollMillis = session.nextPollMillis;
      delayed.add(session, session.nextPollMillis);
    }
  }

  /** Takes out the sessions at which a look may be due. */
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
