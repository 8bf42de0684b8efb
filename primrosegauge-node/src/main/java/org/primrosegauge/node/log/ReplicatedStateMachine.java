package org.primrosegauge.node.log;

import java.util.function.Supplier;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.Term;
import org.primrosegauge.core.log.LogEntry;
import org.primrosegauge.wire.WireException;

/**
 * State machine that a {@link ReplicatedLog} applies its entries to. All methods are called on the
 * log thread.
 *
 * @param <R> type of the result of a command
 * @since 0.2
 */
public interface ReplicatedStateMachine<R> {

  /**
   * Applies a committed command. All replicas skip the same unreadable entries, so their states
   * stay equal.
   *
   * @throws WireException if the command cannot be decoded; it is then skipped
   * @since 0.2
   */
  R apply(LogEntry entry) throws WireException;

  /**
   * Captures the state and returns a function that serializes it. The function is called once, on
   * another thread, while later entries are applied, so it must not access the state itself.
   *
   * @since 0.3
   */
  Supplier<byte[]> snapshot();

  /**
   * Replaces the state with a snapshot.
   *
   * @throws WireException if the bytes are not a valid snapshot
   * @since 0.2
   */
  void restore(byte[] state) throws WireException;

  /**
   * Called after entries were applied or the state was replaced.
   *
   * @param appliedIndex index of the last entry that is applied
   * @since 0.2
   */
  void onApplied(long appliedIndex);

  /**
   * Called when the leader known to this replica changed.
   *
   * @param leader leader; null if none is known
   * @since 0.2
   */
  default void onLeaderChanged(InstanceId leader, Term term) {}

  /**
   * Called at the tick interval of the log.
   *
   * @since 0.2
   */
  default void tick(long nowMillis) {}

  /**
   * Does the work that is needed only once for all entries and tasks since the last call. Called
   * between batches of them, but not before {@link #afterBatchDueMillis}.
   *
   * @since 0.3
   */
  default void afterBatch(long nowMillis) {}

  /**
   * Returns the time at which {@link #afterBatch} is due, in milliseconds of the monotonic clock.
   *
   * @since 0.3
   */
  default long afterBatchDueMillis() {
    return Long.MAX_VALUE;
  }
}
