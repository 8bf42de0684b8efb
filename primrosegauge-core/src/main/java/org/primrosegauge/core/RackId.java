package org.primrosegauge.core;

/**
 * Identifies a rack within a failure domain.
 *
 * @param value well-formed id, see {@link IdSyntax}
 * @since 0.1
 */
public record RackId(String value) implements Comparable<RackId> {

  /** Validates the syntax of the id. */
  public RackId {
    IdSyntax.require("rack", value);
  }

  /**
   * Parses an id from untrusted input.
   *
   * @param text text to parse
   * @param location origin of the text, such as a file and line; reported in the error
   * @throws InvalidInputException if the text is not a well-formed id
   * @since 0.1
   */
  public static RackId parse(String text, String location) throws InvalidInputException {
    return new RackId(IdSyntax.parse("rack", text, location));
  }

  @Override
  public int compareTo(RackId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
