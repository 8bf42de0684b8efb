package org.primrosegauge.core;

/**
 * Identifies an instance: one running primrosegauge process.
 *
 * @param value well-formed id, see {@link IdSyntax}
 * @since 0.1
 */
public record InstanceId(String value) implements Comparable<InstanceId> {

  /** Validates the syntax of the id. */
  public InstanceId {
    IdSyntax.require("instance", value);
  }

  /**
   * Parses an id from untrusted input.
   *
   * @param text text to parse
   * @param location origin of the text, such as a file and line; reported in the error
   * @throws InvalidInputException if the text is not a well-formed id
   * @since 0.1
   */
  public static InstanceId parse(String text, String location) throws InvalidInputException {
    return new InstanceId(IdSyntax.parse("instance", text, location));
  }

  @Override
  public int compareTo(InstanceId other) {
    return value.compareTo(other.value);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof InstanceId that && value.equals(that.value);
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
