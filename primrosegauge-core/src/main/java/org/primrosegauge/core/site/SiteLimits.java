package org.primrosegauge.core.site;

/**
 * Ranges of the numbers in a site configuration.
 *
 * @since 0.1
 */
public final class SiteLimits {

  /** Most workers of one failure domain. */
  public static final int MAX_WORKERS = 10_000;

  /** Most accelerators of one worker. */
  public static final int MAX_ACCELERATORS_PER_WORKER = 64;

  /** Most processor cores of one worker. */
  public static final int MAX_CORES_PER_WORKER = 4_096;

  /** Most memory of one worker, in MiB. */
  public static final long MAX_MEMORY_MIB_PER_WORKER = 64L * 1_024 * 1_024;

  /** Most accelerators that a quota or a guarantee may name. */
  public static final int MAX_ACCELERATORS = MAX_WORKERS * MAX_ACCELERATORS_PER_WORKER;

  /** Greatest weight of a customer's requests. */
  public static final int MAX_REQUEST_SHARE = 1_000;

  /** Largest request or answer body, in bytes. */
  public static final int MAX_BODY_BYTES = 256 * 1_024 * 1_024;

  /** Longest time-out of a request, in milliseconds. */
  public static final long MAX_TIMEOUT_MILLIS = 60L * 60 * 1_000;

  /** Most requests that wait in one instance. */
  public static final int MAX_QUEUED = 100_000;

  /** Most retries per 100 first tries. */
  public static final int MAX_RETRY_PERCENT = 100;

  /** Most requests at once that one executor may be given. */
  public static final int MAX_EXECUTOR_SLOTS = 1_024;

  /** Most connections to one executor. */
  public static final int MAX_EXECUTOR_CONNECTIONS = 10_000;

  private SiteLimits() {}
}
