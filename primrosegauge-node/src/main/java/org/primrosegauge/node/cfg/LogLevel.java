package org.primrosegauge.node.cfg;

/**
 * Least important log lines that are written.
 *
 * @since 0.1
 */
public enum LogLevel {
  /** Failures that need an operator. */
  ERROR,
  /** Also failures that the system handles. */
  WARN,
  /** Also changes of state; the default. */
  INFO,
  /** Also each decision. */
  DEBUG,
  /** Also each message. */
  TRACE
}
