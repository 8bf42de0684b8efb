package org.primrosegauge.core;

/**
 * Identifies a failure domain: machines that fail or are cut off together.
 *
 * @param value well-formed id, see {@link IdSyntax}
 * @since 0.1
 */
public record FailureDomainId(String value) implements Comparable<FailureDomainId> {

  /** Checks the syntax. */
  public FailureDomainId {
    IdSyntax.require("failure domain", value);
  }

  /**
   * Reads an id received from outside.
   *
   * @param text text to read
   * @param location where the text was found, for the error
   * @throws InvalidInputException when the text is no id
   * @since 0.1
   */
  public static FailureDomainId parse(String text, String location) throws InvalidInputException {
    return new FailureDomainId(IdSyntax.parse("failure domain", text, location));
  }

  @Override
  public int compareTo(FailureDomainId other) {
    return value.compareTo(other.value);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof FailureDomainId that && value.equals(that.value);
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
