package org.primrosegauge.core;

/**
 * Identifies a rack within a failure domain.
 *
 * @param value well-formed id, see {@link IdSyntax}
 * @since 0.1
 */
public record RackId(String value) implements Comparable<RackId> {

  /** Checks the syntax. */
  public RackId {
    IdSyntax.require("rack", value);
  }

  /**
   * Reads an id received from outside.
   *
   * @param text text to read
   * @param location where the text was found, for the error
   * @throws InvalidInputException when the text is no id
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
