package org.primrosegauge.core;

/**
 * Identifies a customer, who holds guarantees and submits work.
 *
 * @param value well-formed id, see {@link IdSyntax}
 * @since 0.1
 */
public record CustomerId(String value) implements Comparable<CustomerId> {

  /** Checks the syntax. */
  public CustomerId {
    IdSyntax.require("customer", value);
  }

  /**
   * Reads an id received from outside.
   *
   * @param text text to read
   * @param location where the text was found, for the error
   * @throws InvalidInputException when the text is no id
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
