package org.primrosegauge.core;

/**
 * Identifies a service, whose requests are processed by executors.
 *
 * @param value well-formed id, see {@link IdSyntax}
 * @since 0.1
 */
public record ServiceId(String value) implements Comparable<ServiceId> {

  /** Validates the syntax of the id. */
  public ServiceId {
    IdSyntax.require("service", value);
  }

  /**
   * Parses an id from untrusted input.
   *
   * @param text text to parse
   * @param location origin of the text, such as a file and line; reported in the error
   * @throws InvalidInputException if the text is not a well-formed id
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
