package org.primrosegauge.node.log;

import java.util.function.Supplier;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.Term;
import org.primrosegauge.core.log.LogEntry;
import org.primrosegauge.wire.WireException;

/**
 * Port to the state that a {@link ReplicatedLog} applies its entries to. All methods are called on
 * the log thread.
 *
 * @param <R> what applying a command results in
 * @since 0.2
 */
public interface ReplicatedStateMachine<R> {

  /**
   * Applies a committed command. Every replica skips the same unreadable entries, so their states
   * stay equal.
   *
   * @throws WireException when the command cannot be read; it is then skipped
   * @since 0.2
   */
  R apply(LogEntry entry) throws WireException;

  /**
   * Freezes the whole state and returns the function that writes it. The function is called once,
   * on another thread, while later entries are applied: it must not touch the state.
   *
   * @since 0.3
   */
  Supplier<byte[]> snapshot();

  /**
   * Replaces the whole state.
   *
   * @throws WireException when the bytes are no snapshot
   * @since 0.2
   */
  void restore(byte[] state) throws WireException;

  /**
   * Notes that entries were applied or the state was replaced.
   *
   * @param applied position of the last entry in the state
   * @since 0.2
   */
  void onApplied(long applied);

  /**
   * Notes the leader, as known to this replica.
   *
   * @param leader leader; null while none is known
   * @since 0.2
   */
  default void onLeaderChanged(InstanceId leader, Term term) {}

  /**
   * Lets time pass.
   *
   * @since 0.2
   */
  default void tick(long nowMillis) {}

  /**
   * Does once what any number of entries and tasks since the last call ask for; called between
   * batches of them, not before {@link #afterBatchDueMillis}.
   *
   * @since 0.3
   */
  default void afterBatch(long nowMillis) {}

  /**
   * Returns when {@link #afterBatch} is due, in the clock's milliseconds.
   *
   * @since 0.3
   */
  default long afterBatchDueMillis() {
    return Long.MAX_VALUE;
  }
}
