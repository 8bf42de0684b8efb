package org.primrosegauge.core;

/**
 * Identifies a service whose requests executors answer.
 *
 * @param value well-formed id, see {@link IdSyntax}
 * @since 0.1
 */
public record ServiceId(String value) implements Comparable<ServiceId> {

  /** Checks the syntax. */
  public ServiceId {
    IdSyntax.require("service", value);
  }

  /**
   * Reads an id received from outside.
   *
   * @param text text to read
   * @param location where the text was found, for the error
   * @throws InvalidInputException when the text is no id
   * @since 0.1
   */
  public static ServiceId parse(String text, String location) throws InvalidInputException {
    return new ServiceId(IdSyntax.parse("service", text, location));
  }

  @Override
  public int compareTo(ServiceId other) {
    return value.compareTo(other.value);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof ServiceId that && value.equals(that.value);
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
