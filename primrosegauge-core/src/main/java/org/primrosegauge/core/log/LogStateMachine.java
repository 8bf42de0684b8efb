package org.primrosegauge.core.log;

/**
 * State machine that the replicated log drives. Each replica applies the same entries in the same
 * order, so implementations must be deterministic and must take the time only from the entry.
 *
 * <p>All methods are called on the same thread.
 *
 * @since 0.1
 */
public interface LogStateMachine {

  /**
   * Applies a committed command.
   *
   * @return result for the caller that proposed the command
   * @since 0.1
   */
  byte[] apply(LogEntry entry);

  /**
   * Returns the serialized state. Equal states have equal bytes.
   *
   * @since 0.1
   */
  byte[] snapshot();

  /**
   * Replaces the state.
   *
   * @param state result of an earlier call of {@link #snapshot}
   * @since 0.1
   */
  void restore(byte[] state);
}
