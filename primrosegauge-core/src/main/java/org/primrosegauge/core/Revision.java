package org.primrosegauge.core;

/**
 * Revision number of an accepted configuration. It never decreases.
 *
 * @param number revision number; 0 is the empty configuration of a new site
 * @since 0.1
 */
public record Revision(long number) implements Comparable<Revision> {

  /** Revision of the empty configuration. */
  public static final Revision NONE = new Revision(0);

  /** Validates that the number is not negative. */
  public Revision {
    if (number < 0) {
      throw new IllegalArgumentException("negative revision " + number);
    }
  }

  /**
   * Returns the next revision.
   *
   * @since 0.1
   */
  public Revision next() {
    return new Revision(number + 1);
  }

  @Override
  public int compareTo(Revision other) {
    return Long.compare(number, other.number);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof Revision that && number == that.number;
  }

  @Override
  public int hashCode() {
    return Long.hashCode(number);
  }

  @Override
  public String toString() {
    return Long.toString(number);
  }
}
