package org.primrosegauge.core;

import java.util.Objects;

/**
 * Base class of all checked exceptions. Each one carries an error kind, a summary, a location and a
 * remedy.
 *
 * @since 0.1
 */
public class PrimrosegaugeException extends Exception {

  private static final long serialVersionUID = 1L;

  private final ErrorKind kind;
  private final String summary;
  private final String remedy;
  private final String location;

  /**
   * Creates an exception with a cause.
   *
   * @param kind error kind
   * @param summary description of the failure
   * @param remedy action that resolves the failure
   * @param location file and line, field or address of the failure; empty if unknown
   * @param cause underlying exception, or null
   * @since 0.1
   */
  public PrimrosegaugeException(
      ErrorKind kind, String summary, String remedy, String location, Throwable cause) {
    super(formatMessage(summary, remedy, location), cause);
    this.kind = Objects.requireNonNull(kind);
    this.summary = summary;
    this.remedy = remedy;
    this.location = location;
  }

  /**
   * Creates an exception without a cause.
   *
   * @since 0.1
   */
  public PrimrosegaugeException(ErrorKind kind, String summary, String remedy, String location) {
    this(kind, summary, remedy, location, null);
  }

  /**
   * Returns the error kind.
   *
   * @since 0.1
   */
  public ErrorKind kind() {
    return kind;
  }

  /**
   * Returns the description of the failure, without remedy and location.
   *
   * @since 0.1
   */
  public String summary() {
    return summary;
  }

  /**
   * Returns the action that resolves the failure.
   *
   * @since 0.1
   */
  public String remedy() {
    return remedy;
  }

  /**
   * Returns the location of the failure; empty if unknown.
   *
   * @since 0.1
   */
  public String location() {
    return location;
  }

  private static String formatMessage(String summary, String remedy, String location) {
    String prefix = location.isEmpty() ? "" : location + ": ";
    return prefix + summary + "; remedy: " + remedy;
  }
}
