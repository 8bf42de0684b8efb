package org.primrosegauge.core.log;

/**
 * Port to what the replicated log keeps. Each replica applies the same entries in the same order,
 * so implementations are deterministic and read the time only from the entry.
 *
 * <p>Called by one thread.
 *
 * @since 0.1
 */
public interface LogStateMachine {

  /**
   * Applies a committed command.
   *
   * @return answer for whoever proposed the command
   * @since 0.1
   */
  byte[] apply(LogEntry entry);

  /**
   * Returns the whole state. Equal states give equal bytes.
   *
   * @since 0.1
   */
  byte[] snapshot();

  /**
   * Replaces the whole state.
   *
   * @param state earlier result of {@link #snapshot}
   * @since 0.1
   */
  void restore(byte[] state);
}
