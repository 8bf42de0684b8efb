package org.primrosegauge.core;

/**
 * Identifies one request of a caller.
 *
 * @param value well-formed id, see {@link IdSyntax}
 * @since 0.1
 */
public record RequestId(String value) implements Comparable<RequestId> {

  /** Checks the syntax. */
  public RequestId {
    IdSyntax.require("request", value);
  }

  /**
   * Reads an id received from outside.
   *
   * @param text text to read
   * @param location where the text was found, for the error
   * @throws InvalidInputException when the text is no id
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
