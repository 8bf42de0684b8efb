package org.primrosegauge.core;

/**
 * Identifies an instance: one running primrosegauge process.
 *
 * @param value well-formed id, see {@link IdSyntax}
 * @since 0.1
 */
public record InstanceId(String value) implements Comparable<InstanceId> {

  /** Checks the syntax. */
  public InstanceId {
    IdSyntax.require("instance", value);
  }

  /**
   * Reads an id received from outside.
   *
   * @param text text to read
   * @param location where the text was found, for the error
   * @throws InvalidInputException when the text is no id
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
