package org.primrosegauge.core.job;

import java.util.Comparator;
import org.primrosegauge.core.Term;

/**
 * Version stamp of a job's record. Stamps are ordered by the number of transfers first, because
 * terms of different home domains are not comparable, then by term and by version.
 *
 * @param transfers number of times that the job moved to another home domain, from 0 to 127
 * @param term term of the domain leader that wrote the version, below 2^24
 * @param version incremented by each write
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
      throw new IllegalArgumentException(
          "stamp out of range: transfers " + transfers + ", term " + term + ", version " + version);
    }
  }

  /**
   * Returns the stamp packed into one number with the same order: 7 bits of transfers, 24 bits of
   * term, 32 bits of version. The log uses it as the version of the job record.
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
