package org.primrosegauge.core.request;

import org.primrosegauge.core.ErrorKind;

/**
 * Why a request got an error in place of a target's answer.
 *
 * @since 0.1
 */
public enum RefusalReason implements CountedReason {
  /** The service is not configured. */
  UNKNOWN_SERVICE("unknown-service", ErrorKind.NOT_FOUND),
  /** The customer is not configured. */
  UNKNOWN_CUSTOMER("unknown-customer", ErrorKind.NOT_FOUND),
  /** The body is larger than the service allows. */
  BODY_TOO_LARGE("body-too-large", ErrorKind.OVER_LIMIT),
  /** The deadline passed before the request came in. */
  DEADLINE_PASSED("deadline-passed", ErrorKind.DEADLINE),
  /** The queue is so long that the deadline cannot be met. */
  DEADLINE_UNREACHABLE("deadline-unreachable", ErrorKind.DEADLINE),
  /** The deadline came while the request waited for a slot. */
  DEADLINE_IN_QUEUE("deadline-in-queue", ErrorKind.DEADLINE),
  /** The deadline came while a target worked on the request. */
  DEADLINE_IN_FLIGHT("deadline-in-flight", ErrorKind.DEADLINE),
  /** The queue is full and the customer uses its whole share of it. */
  QUEUE_FULL("queue-full", ErrorKind.OVER_LIMIT),
  /** A customer below its share of the queue needed the place. */
  QUEUE_SHARE_RECLAIMED("queue-share-reclaimed", ErrorKind.OVER_LIMIT),
  /** No instance knows a usable executor of the service. */
  NO_TARGET("no-target", ErrorKind.UNAVAILABLE),
  /** A peer forwarded the request but no slot is free here. */
  NO_SLOT_FOR_PEER("no-slot-for-peer", ErrorKind.OVER_LIMIT),
  /** The instance is shutting down. */
  SHUTTING_DOWN("shutting-down", ErrorKind.UNAVAILABLE),
  /** The record of idempotency keys cannot be reached. */
  CLAIM_UNAVAILABLE("claim-unavailable", ErrorKind.UNAVAILABLE),
  /** The idempotency key belongs to another request. */
  ALREADY_CLAIMED("already-claimed", ErrorKind.OUTCOME_UNKNOWN),
  /** The idempotency key belongs to a request whose work ran. */
  ALREADY_RAN("already-ran", ErrorKind.CONFLICT),
  /** The idempotency key was used for another content. */
  KEY_REUSED("key-reused", ErrorKind.CONFLICT),
  /** The target did not get or did not begin the request, and it cannot be tried again now. */
  TARGET_UNREACHABLE("target-unreachable", ErrorKind.UNAVAILABLE),
  /** The target answered with an error, and the request cannot be tried again. */
  TARGET_FAILED("target-failed", ErrorKind.TARGET_FAILED),
  /** The connection broke after the request was sent, and it cannot be tried again. */
  OUTCOME_UNKNOWN("outcome-unknown", ErrorKind.OUTCOME_UNKNOWN);

  private final String label;
  private final ErrorKind kind;

  RefusalReason(String label, ErrorKind kind) {
    this.label = label;
    this.kind = kind;
  }

  @Override
  public String label() {
    return label;
  }

  /**
   * Returns the kind of error that the caller sees.
   *
   * @since 0.1
   */
  public ErrorKind kind() {
    return kind;
  }
}
