package org.primrosegauge.cli;

import org.primrosegauge.core.ErrorKind;
import org.primrosegauge.core.PrimrosegaugeException;

/**
 * An instance refused a request, or could not be reached.
 *
 * @since 0.1
 */
public class ApiProblemException extends PrimrosegaugeException {

  private static final long serialVersionUID = 1L;

  private final String execution;
  private final String retryAfter;

  /**
   * Creates an error.
   *
   * @param kind stable kind
   * @param summary what went wrong
   * @param remedy what the reader can do about it
   * @param execution whether the work ran: {@code not-run}, {@code unknown} or {@code ran}
   * @param retryAfter seconds after which to come back; empty where that does not help
   * @since 0.1
   */
  public ApiProblemException(
      ErrorKind kind, String summary, String remedy, String execution, String retryAfter) {
    super(kind, summary, remedy, "");
    this.execution = execution;
    this.retryAfter = retryAfter;
  }

  /**
   * Returns whether the work ran.
   *
   * @since 0.1
   */
  public String execution() {
    return execution;
  }

  /**
   * Returns the seconds after which to come back; empty where that does not help.
   *
   * @since 0.1
   */
  public String retryAfter() {
    return retryAfter;
  }
}
