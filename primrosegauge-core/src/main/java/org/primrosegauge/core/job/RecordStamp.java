package org.primrosegauge.core.job;

import java.util.Comparator;
import org.primrosegauge.core.Term;

/**
 * Position of a version of a job's record. Terms of different home domains are not comparable, so
 * the number of transfers counts first.
 *
 * @param transfers how often the job's home has changed
 * @param term term of the keeper that wrote the version
 * @param version counted up by each write
 * @since 0.1
 */
public record RecordStamp(int transfers, Term term, int version)
    implements Comparable<RecordStamp> {

  private static final Comparator<RecordStamp> ORDER =
      Comparator.comparingInt(RecordStamp::transfers)
          .thenComparing(RecordStamp::term)
          .thenComparingInt(RecordStamp::version);
  private static final int MAX_TRANSFERS = 0x7F;
  private static final long MAX_TERM = 0xFF_FFFFL;
  private static final int TERM_SHIFT = 32;
  private static final int TRANSFERS_SHIFT = 56;

  /** Checks the ranges. */
  public RecordStamp {
    if (transfers < 0 || transfers > MAX_TRANSFERS || version < 0 || term.number() > MAX_TERM) {
      throw new IllegalArgumentException("stamp " + transfers + "/" + term + "/" + version);
    }
  }

  /**
   * Returns the whole stamp as one number of the same order, the version that the log compares.
   *
   * @since 0.1
   */
  public long packed() {
    return ((long) transfers << TRANSFERS_SHIFT) | (term.number() << TERM_SHIFT) | version;
  }

  @Override
  public int compareTo(RecordStamp other) {
    return ORDER.compare(this, other);
  }
}
