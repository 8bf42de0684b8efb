package org.primrosegauge.core;

/**
 * Identifies a customer, which holds capacity guarantees and submits requests and jobs.
 *
 * @param value well-formed id, see {@link IdSyntax}
 * @since 0.1
 */
public record CustomerId(String value) implements Comparable<CustomerId> {

  /** Validates the syntax of the id. */
  public CustomerId {
    IdSyntax.require("customer", value);
  }

  /**
   * Parses an id from untrusted input.
   *
   * @param text text to parse
   * @param location origin of the text, such as a file and line; reported in the error
   * @throws InvalidInputException if the text is not a well-formed id
   * @since 0.1
   */
  public static CustomerId parse(String text, String location) throws InvalidInputException {
    return new CustomerId(IdSyntax.parse("customer", text, location));
  }

  @Override
  public int compareTo(CustomerId other) {
    return value.compareTo(other.value);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof CustomerId that && value.equals(that.value);
  }

  @Override
  public int hashCode() {
    return value.hashCode();
  }

  @Override
  public String toString() {
    return value;
  }
}
