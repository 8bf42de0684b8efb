package org.primrosegauge.core.site;

/**
 * Upper limits of the numeric values in a site configuration.
 *
 * @since 0.1
 */
public final class SiteLimits {

  /** Maximum number of workers per failure domain. */
  public static final int MAX_WORKERS = 10_000;

  /** Maximum number of accelerators per worker. */
  public static final int MAX_ACCELERATORS_PER_WORKER = 64;

  /** Maximum number of processor cores per worker. */
  public static final int MAX_CORES_PER_WORKER = 4_096;

  /** Maximum memory per worker, in MiB. */
  public static final long MAX_MEMORY_MIB_PER_WORKER = 64L * 1_024 * 1_024;

  /** Maximum number of accelerators of a quota or a guarantee. */
  public static final int MAX_ACCELERATORS = MAX_WORKERS * MAX_ACCELERATORS_PER_WORKER;

  /** Maximum scheduling weight of a customer's requests. */
  public static final int MAX_REQUEST_SHARE = 1_000;

  /** Maximum size of a request or response body, in bytes. */
  public static final int MAX_BODY_BYTES = 256 * 1_024 * 1_024;

  /** Maximum timeout of a request, in milliseconds. */
  public static final long MAX_TIMEOUT_MILLIS = 60L * 60 * 1_000;

  /** Maximum number of queued requests per instance. */
  public static final int MAX_QUEUED = 100_000;

  /** Maximum number of retries per 100 first attempts. */
  public static final int MAX_RETRY_PERCENT = 100;

  /** Maximum number of concurrent requests per executor. */
  public static final int MAX_EXECUTOR_SLOTS = 1_024;

  /** Maximum number of connections per executor. */
  public static final int MAX_EXECUTOR_CONNECTIONS = 10_000;

  private SiteLimits() {}
}
