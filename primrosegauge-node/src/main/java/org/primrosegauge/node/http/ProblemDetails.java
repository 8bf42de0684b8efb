package org.primrosegauge.node.http;

import java.util.Locale;
import org.primrosegauge.core.ErrorKind;
import org.primrosegauge.core.ExecutionStatus;
import org.primrosegauge.core.PrimrosegaugeException;

/**
 * Body of an error answer, in the format of RFC 9457.
 *
 * @param type stable address of the kind
 * @param title the kind in words
 * @param status HTTP status
 * @param detail what went wrong
 * @param kind stable kind, see {@link ErrorKind}
 * @param remedy what the caller can do about it
 * @param execution whether the work ran: {@code not-run}, {@code unknown} or {@code ran}
 * @param retryAfterMillis when to come back, in milliseconds; null where coming back does not help
 * @since 0.1
 */
public record ProblemDetails(
    String type,
    String title,
    int status,
    String detail,
    String kind,
    String remedy,
    String execution,
    Long retryAfterMillis) {

  private static final String TYPE_PREFIX = "urn:primrosegauge:problem:";

  /**
   * Creates the body for an error.
   *
   * @param error error to describe
   * @param execution whether the work ran
   * @param retryAfterMillis when to come back, in milliseconds; null where that does not help
   * @since 0.1
   */
  public static ProblemDetails of(
      PrimrosegaugeException error, ExecutionStatus execution, Long retryAfterMillis) {
    String place = error.location().isEmpty() ? "" : error.location() + ": ";
    return of(error.kind(), place + error.summary(), error.remedy(), execution, retryAfterMillis);
  }

  /**
   * Creates the body from its parts.
   *
   * @since 0.1
   */
  public static ProblemDetails of(
      ErrorKind kind,
      String detail,
      String remedy,
      ExecutionStatus execution,
      Long retryAfterMillis) {
    return new ProblemDetails(
        TYPE_PREFIX + kind.label(),
        kind.name().toLowerCase(Locale.ROOT).replace('_', ' '),
        statusOf(kind),
        detail,
        kind.label(),
        remedy,
        execution.label(),
        retryAfterMillis);
  }

  /**
   * Returns the HTTP status of a kind.
   *
   * @since 0.1
   */
  public static int statusOf(ErrorKind kind) {
    return switch (kind) {
      case INVALID_INPUT -> 400;
      case UNAUTHENTICATED -> 401;
      case FORBIDDEN -> 403;
      case NOT_FOUND -> 404;
      case CONFLICT -> 409;
      case INFEASIBLE -> 422;
      case OVER_LIMIT -> 429;
      case OUTCOME_UNKNOWN, TARGET_FAILED -> 502;
      case UNAVAILABLE -> 503;
      case DEADLINE -> 504;
      case STORAGE -> 507;
      case INTERNAL -> 500;
    };
  }
}
