package org.primrosegauge.node.scope;

import org.primrosegauge.node.duty.Duty;
import org.primrosegauge.node.scope.ScopeMessage.Question;

/**
 * Ranks the questions on the leader's thread, and decides when one has waited so long that it is
 * refused instead of being carried out.
 *
 * <p>Answers a leader that is behind. Workers' heartbeats and operators' orders are few, keep the
 * leader's state current, and are handled whatever their age: a worker whose heartbeat is left out
 * counts as silent and gets nothing new. Questions about the leader are cheap, and without their
 * answers all instances look for another leader at once. Calls of callers come after these, reads
 * of the state of jobs last.
 *
 * <p>Stateless.
 */
final class LoadShedding {

  /**
   * Longest wait of a call or read of a caller before it is carried out, in milliseconds. Callers
   * give three seconds for all their tries, and need some of it to come back after a refusal.
   */
  static final long MAX_WAIT_MILLIS = 1_500;

  /** Pause after which a caller that was refused for its wait may come back. */
  static final long RETRY_AFTER_MILLIS = 1_000;

  /** Why a question was given up. Each has a counter. */
  enum ShedReason {
    /** A call waited too long; nothing was handed to the log. */
    STALE_CALL,
    /** A read waited too long. */
    STALE_READ,
    /** The ring had no room. */
    NO_ROOM
  }

  private LoadShedding() {}

  /** Returns the rank of a question on the leader's thread. */
  static Duty.Rank rankOf(Question question) {
    if (question instanceof ScopeMessage.AskState) {
      return Duty.Rank.READ;
    }
    boolean isCall =
        question instanceof ScopeMessage.Submit || question instanceof ScopeMessage.Cancel;
    return isCall ? Duty.Rank.CALL : Duty.Rank.USUAL;
  }

  /** Tells whether the one who asked is about to give up, or has. */
  static boolean isStale(Question question, long waitedMillis) {
    return rankOf(question) != Duty.Rank.USUAL && waitedMillis > MAX_WAIT_MILLIS;
  }
}
