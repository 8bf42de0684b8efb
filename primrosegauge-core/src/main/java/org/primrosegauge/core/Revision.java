package org.primrosegauge.core;

/**
 * Number of an accepted configuration. It never goes back.
 *
 * @param number 0 for the empty configuration that a site starts from
 * @since 0.1
 */
public record Revision(long number) implements Comparable<Revision> {

  /** Revision of the empty configuration. */
  public static final Revision NONE = new Revision(0);

  /** Checks the range. */
  public Revision {
    if (number < 0) {
      throw new IllegalArgumentException("negative revision " + number);
    }
  }

  /**
   * Returns the revision that follows.
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
