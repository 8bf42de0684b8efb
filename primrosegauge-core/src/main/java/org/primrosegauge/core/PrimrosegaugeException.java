package org.primrosegauge.core;

import java.util.Objects;

/**
 * Root of all checked errors. Each states its kind, what went wrong, where, and what to do about
 * it.
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
   * Creates an error.
   *
   * @param kind stable kind
   * @param summary what went wrong
   * @param remedy what the reader can do about it
   * @param location file and line, field or address where it went wrong; empty when there is none
   * @param cause lower-level error, or null
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
   * Creates an error without a lower-level cause.
   *
   * @since 0.1
   */
  public PrimrosegaugeException(ErrorKind kind, String summary, String remedy, String location) {
    this(kind, summary, remedy, location, null);
  }

  /**
   * Returns the stable kind.
   *
   * @since 0.1
   */
  public ErrorKind kind() {
    return kind;
  }

  /**
   * Returns what went wrong, without remedy and location.
   *
   * @since 0.1
   */
  public String summary() {
    return summary;
  }

  /**
   * Returns what the reader can do about it.
   *
   * @since 0.1
   */
  public String remedy() {
    return remedy;
  }

  /**
   * Returns where it went wrong; empty when there is no place to name.
   *
   * @since 0.1
   */
  public String location() {
    return location;
  }

  private static String formatMessage(String summary, String remedy, String location) {
    String place = location.isEmpty() ? "" : location + ": ";
    return place + summary + "; remedy: " + remedy;
  }
}
