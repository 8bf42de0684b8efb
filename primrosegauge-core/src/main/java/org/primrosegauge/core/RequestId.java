package org.primrosegauge.core;

/**
 * Identifies a request submitted by a caller.
 *
 * @param value well-formed id, see {@link IdSyntax}
 * @since 0.1
 */
public record RequestId(String value) implements Comparable<RequestId> {

  /** Validates the syntax of the id. */
  public RequestId {
    IdSyntax.require("request", value);
  }

  /**
   * Parses an id from untrusted input.
   *
   * @param text text to parse
   * @param location origin of the text, such as a file and line; reported in the error
   * @throws InvalidInputException if the text is not a well-formed id
   * @since 0.1
   */
  public static RequestId parse(String text, String location) throws InvalidInputException {
    return new RequestId(IdSyntax.parse("request", text, location));
  }

  @Override
  public int compareTo(RequestId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
