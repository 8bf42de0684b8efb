package org.primrosegauge.core;

/**
 * Identifies a target: a worker or an executor.
 *
 * @param value well-formed id, see {@link IdSyntax}
 * @since 0.1
 */
public record TargetId(String value) implements Comparable<TargetId> {

  /** Checks the syntax. */
  public TargetId {
    IdSyntax.require("target", value);
  }

  /**
   * Reads an id received from outside.
   *
   * @param text text to read
   * @param location where the text was found, for the error
   * @throws InvalidInputException when the text is no id
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
