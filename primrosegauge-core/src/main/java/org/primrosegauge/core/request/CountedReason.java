package org.primrosegauge.core.request;

/**
 * A reason that has a counter of its own.
 *
 * @since 0.1
 */
public sealed interface CountedReason permits RefusalReason, RetryReason, DropReason {

  /**
   * Returns the stable text that metrics carry.
   *
   * @since 0.1
   */
  String label();
}
