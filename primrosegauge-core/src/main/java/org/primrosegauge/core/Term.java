package org.primrosegauge.core;

/**
 * Number of a period of office. A message under a lower term than one already seen is stale; this
 * makes a term usable as a fencing token.
 *
 * @param number 0 before the first period
 * @since 0.1
 */
public record Term(long number) implements Comparable<Term> {

  /** The term before the first period of office. */
  public static final Term NONE = new Term(0);

  /** Checks the range. */
  public Term {
    if (number < 0) {
      throw new IllegalArgumentException("negative term " + number);
    }
  }

  /**
   * Returns the term that follows.
   *
   * @since 0.1
   */
  public Term next() {
    return new Term(number + 1);
  }

  /**
   * Tells whether this term is later than another.
   *
   * @since 0.1
   */
  public boolean isAfter(Term other) {
    return number > other.number;
  }

  @Override
  public int compareTo(Term other) {
    return Long.compare(number, other.number);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof Term that && number == that.number;
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
