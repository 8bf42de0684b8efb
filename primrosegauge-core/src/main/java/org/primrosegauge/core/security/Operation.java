package org.primrosegauge.core.security;

/**
 * What a caller wants to do.
 *
 * @since 0.1
 */
public enum Operation {
  /** Sees status, domains, targets and instances. */
  READ_SITE,
  /** Sees the configuration and its history. */
  READ_CONFIGURATION,
  /** Replaces the configuration. */
  CHANGE_CONFIGURATION,
  /** Takes a failure domain out or in. */
  SWITCH_DOMAIN,
  /** Submits a job for a customer. */
  SUBMIT_JOB,
  /** Sees a job of a customer. */
  READ_JOB,
  /** Cancels a job of a customer. */
  CANCEL_JOB,
  /** Sends a service request for a customer. */
  SEND_REQUEST,
  /** Announces a target or reports about it. */
  REPORT_TARGET,
  /** Exchanges state between instances. */
  EXCHANGE_STATE;

  /**
   * Tells whether the operation concerns the work of one customer.
   *
   * @since 0.1
   */
  public boolean concernsCustomer() {
    return this == SUBMIT_JOB || this == READ_JOB || this == CANCEL_JOB || this == SEND_REQUEST;
  }
}
