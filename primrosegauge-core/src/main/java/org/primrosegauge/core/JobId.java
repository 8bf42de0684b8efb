package org.primrosegauge.core;

/**
 * Identifies a job.
 *
 * @param value well-formed id, see {@link IdSyntax}
 * @since 0.1
 */
public record JobId(String value) implements Comparable<JobId> {

  /** Validates the syntax of the id. */
  public JobId {
    IdSyntax.require("job", value);
  }

  /**
   * Parses an id from untrusted input.
   *
   * @param text text to parse
   * @param location origin of the text, such as a file and line; reported in the error
   * @throws InvalidInputException if the text is not a well-formed id
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
