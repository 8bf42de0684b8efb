package org.primrosegauge.core;

/**
 * Identifies a region: a group of failure domains.
 *
 * @param value well-formed id, see {@link IdSyntax}
 * @since 0.1
 */
public record RegionId(String value) implements Comparable<RegionId> {

  /** Checks the syntax. */
  public RegionId {
    IdSyntax.require("region", value);
  }

  /**
   * Reads an id received from outside.
   *
   * @param text text to read
   * @param location where the text was found, for the error
   * @throws InvalidInputException when the text is no id
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
