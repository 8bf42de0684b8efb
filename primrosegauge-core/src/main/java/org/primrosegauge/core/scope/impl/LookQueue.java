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
final class LookQueue {

  private final Set<WorkerSession> touched = new LinkedHashSet<>();
  private final DueQueue<WorkerSession> later = new DueQueue<>();

  void clear() {
    touched.clear();
    later.clear();
  }

  /** Notes that something has changed that decides whether a look is due. */
  void touch(WorkerSession session) {
    touched.add(session);
  }

  /** Has a session taken out again at the time of its next look. */
  void delay(WorkerSession session) {
    if (session.nextLookMillis < session.queuedLookMillis) {
      session.queuedLookMillis = session.nextLookMillis;
      later.add(session, session.nextLookMillis);
    }
  }

  /** Takes out the sessions at which a look may be due. */
  List<WorkerSession> take(long nowMillis) {
    Optional<WorkerSession> next = later.take(nowMillis);
    while (next.isPresent()) {
      next.get().queuedLookMillis = Long.MAX_VALUE;
      touched.add(next.get());
      next = later.take(nowMillis);
    }
    List<WorkerSession> taken = new ArrayList<>(touched);
    touched.clear();
    return taken;
  }
}
