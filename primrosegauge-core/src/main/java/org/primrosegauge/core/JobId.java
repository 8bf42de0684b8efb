package org.primrosegauge.core;

/**
 * Identifies a job.
 *
 * @param value well-formed id, see {@link IdSyntax}
 * @since 0.1
 */
public record JobId(String value) implements Comparable<JobId> {

  /** Checks the syntax. */
  public JobId {
    IdSyntax.require("job", value);
  }

  /**
   * Reads an id received from outside.
   *
   * @param text text to read
   * @param location where the text was found, for the error
   * @throws InvalidInputException when the text is no id
   * @since 0.1
   */
  public static JobId parse(String text, String location) throws InvalidInputException {
    return new JobId(IdSyntax.parse("job", text, location));
  }

  @Override
  public int compareTo(JobId other) {
    return value.compareTo(other.value);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof JobId that && value.equals(that.value);
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
