package org.primrosegauge.core;

/**
 * Identifies a target: a worker or an executor.
 *
 * @param value well-formed id, see {@link IdSyntax}
 * @since 0.1
 */
public record TargetId(String value) implements Comparable<TargetId> {

  /** Validates the syntax of the id. */
  public TargetId {
    IdSyntax.require("target", value);
  }

  /**
   * Parses an id from untrusted input.
   *
   * @param text text to parse
   * @param location origin of the text, such as a file and line; reported in the error
   * @throws InvalidInputException if the text is not a well-formed id
   * @since 0.1
   */
  public static TargetId parse(String text, String location) throws InvalidInputException {
    return new TargetId(IdSyntax.parse("target", text, location));
  }

  @Override
  public int compareTo(TargetId other) {
    return value.compareTo(other.value);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof TargetId that && value.equals(that.value);
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
