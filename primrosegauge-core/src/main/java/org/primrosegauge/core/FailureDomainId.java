package org.primrosegauge.core;

/**
 * Identifies a failure domain: a set of machines that fail or become unreachable together.
 *
 * @param value well-formed id, see {@link IdSyntax}
 * @since 0.1
 */
public record FailureDomainId(String value) implements Comparable<FailureDomainId> {

  /** Validates the syntax of the id. */
  public FailureDomainId {
    IdSyntax.require("failure domain", value);
  }

  /**
   * Parses an id from untrusted input.
   *
   * @param text text to parse
   * @param location origin of the text, such as a file and line; reported in the error
   * @throws InvalidInputException if the text is not a well-formed id
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
