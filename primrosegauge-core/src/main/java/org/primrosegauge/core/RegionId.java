package org.primrosegauge.core;

/**
 * Identifies a region: a group of failure domains.
 *
 * @param value well-formed id, see {@link IdSyntax}
 * @since 0.1
 */
public record RegionId(String value) implements Comparable<RegionId> {

  /** Validates the syntax of the id. */
  public RegionId {
    IdSyntax.require("region", value);
  }

  /**
   * Parses an id from untrusted input.
   *
   * @param text text to parse
   * @param location origin of the text, such as a file and line; reported in the error
   * @throws InvalidInputException if the text is not a well-formed id
   * @since 0.1
   */
  public static RegionId parse(String text, String location) throws InvalidInputException {
    return new RegionId(IdSyntax.parse("region", text, location));
  }

  @Override
  public int compareTo(RegionId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
