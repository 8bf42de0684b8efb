package org.primrosegauge.node.request;

import org.primrosegauge.core.request.RefusalReason;

/** What callers are told about refusals. Stateless. */
final class RefusalTexts {

  private static final String COME_BACK = "send the request again after the time in Retry-After";
  private static final String CHECK =
      "find out from the service whether the work was done before sending it again";

  private RefusalTexts() {}

  static String summary(RefusalReason reason) {
    return switch (reason) {
      case UNKNOWN_SERVICE -> "the service is not configured";
      case UNKNOWN_CUSTOMER -> "the customer is not configured";
      case BODY_TOO_LARGE -> "the body is larger than the service allows";
      case DEADLINE_PASSED -> "the deadline passed before the request was accepted";
      case DEADLINE_UNREACHABLE -> "the queue is too long for the deadline";
      case DEADLINE_IN_QUEUE -> "no slot was free before the deadline";
      case DEADLINE_IN_FLIGHT -> "the executor did not answer before the deadline";
      case QUEUE_FULL -> "the queue of the service is full";
      case QUEUE_SHARE_RECLAIMED -> "a customer below its share needed the place in the queue";
      case NO_TARGET -> "no usable executor of the service is known";
      case NO_SLOT_FOR_PEER -> "no slot is free";
      case SHUTTING_DOWN -> "the instance is shutting down";
      case CLAIM_UNAVAILABLE -> "the record of idempotency keys cannot be reached";
      case ALREADY_CLAIMED -> "another request with this idempotency key was accepted";
      case ALREADY_RAN -> "the work under this idempotency key ran already";
      case KEY_REUSED -> "the idempotency key was used for another content";
      case TARGET_UNREACHABLE -> "the executor did not take the request";
      case TARGET_FAILED -> "the executor answered with an error";
      case OUTCOME_UNKNOWN -> "the connection to the executor ended without a whole answer";
    };
  }

  static String remedy(RefusalReason reason) {
    return switch (reason) {
      case UNKNOWN_SERVICE, UNKNOWN_CUSTOMER ->
          "correct the name or ask an operator to configure it";
      case BODY_TOO_LARGE -> "send a smaller body or ask an operator to raise the limit";
      case DEADLINE_PASSED, DEADLINE_UNREACHABLE, DEADLINE_IN_QUEUE ->
          "send the request again with more time";
      case QUEUE_FULL, QUEUE_SHARE_RECLAIMED, NO_TARGET, NO_SLOT_FOR_PEER, CLAIM_UNAVAILABLE ->
          COME_BACK;
      case SHUTTING_DOWN -> "send the request to another instance";
      case KEY_REUSED -> "use a new idempotency key for a new request";
      case TARGET_UNREACHABLE, TARGET_FAILED ->
          "see 'execution'; if it is 'not-run' or the work may be repeated, send it again";
      case DEADLINE_IN_FLIGHT, ALREADY_CLAIMED, ALREADY_RAN, OUTCOME_UNKNOWN -> CHECK;
    };
  }
}
