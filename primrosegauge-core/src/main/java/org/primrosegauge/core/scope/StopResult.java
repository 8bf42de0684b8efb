package org.primrosegauge.core.scope;

/**
 * Result of a request to stop a run.
 *
 * @since 0.2
 */
public enum StopResult {
  /** The run is stopping, or will never start. */
  STOPPING,
  /** The worker has seen a higher fencing token; the request had no effect. */
  FENCED,
  /** Another incarnation of the worker responded; the addressed one has ended. */
  OTHER_LIFETIME,
  /** No response was received. */
  NO_ANSWER
}
