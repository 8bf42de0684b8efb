package org.primrosegauge.core;

/**
 * Leadership term. A message with a lower term than the highest one observed is stale, so a term
 * can serve as a fencing token.
 *
 * @param number term number; 0 before the first leader is elected
 * @since 0.1
 */
public record Term(long number) implements Comparable<Term> {

  /** The term before the first leader is elected. */
  public static final Term NONE = new Term(0);

  /** Validates that the number is not negative. */
  public Term {
    if (number < 0) {
      throw new IllegalArgumentException("negative term " + number);
    }
  }

  /**
   * Returns the next term.
   *
   * @since 0.1
   */
  public Term next() {
    return new Term(number + 1);
  }

  /**
   * Returns whether this term is later than the other.
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
