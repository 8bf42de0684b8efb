package org.primrosegauge.core.log.impl;

import java.util.ArrayList;
import java.util.List;
import org.primrosegauge.core.Term;
import org.primrosegauge.core.log.LogEntry;
import org.primrosegauge.core.log.LogIndex;
import org.primrosegauge.core.log.LogSnapshot;
import org.primrosegauge.core.log.Membership;
import org.primrosegauge.core.log.RecoveredLog;

/**
 * The latest entries and the latest snapshot. Positions are plain numbers here.
 *
 * <p>Single-threaded; lives as long as its replica.
 *
 * @since 0.1
 */
public final class MemoryLog {

  private final List<LogEntry> entries = new ArrayList<>();
  private LogSnapshot snapshot;
  private long baseIndex;
  private Term baseTerm = Term.NONE;

  /**
   * Creates the log that a data folder holds.
   *
   * @since 0.1
   */
  public MemoryLog(RecoveredLog recovered) {
    if (recovered.snapshot() != null) {
      reset(recovered.snapshot());
    }
    for (LogEntry entry : recovered.entries()) {
      if (entry.index().number() > lastIndex()) {
        append(entry);
      }
    }
  }

  /** Returns the latest snapshot; null when none. */
  public LogSnapshot snapshot() {
    return snapshot;
  }

  /** Returns the position of the latest snapshot; 0 when none. */
  public long snapshotIndex() {
    return snapshot == null ? 0 : snapshot.index().number();
  }

  /** Returns the position before the first entry in memory. */
  public long baseIndex() {
    return baseIndex;
  }

  /** Returns the last position. */
  public long lastIndex() {
    return baseIndex + entries.size();
  }

  /** Returns the term of the last entry. */
  public Term lastTerm() {
    return entries.isEmpty() ? baseTerm : entries.get(entries.size() - 1).term();
  }

  /** Returns the log time of the last entry, in milliseconds. */
  public long lastLogMillis() {
    if (!entries.isEmpty()) {
      return entries.get(entries.size() - 1).logMillis();
    }
    return snapshot == null ? 0 : snapshot.logMillis();
  }

  /** Tells whether nothing was ever logged. */
  public boolean isEmpty() {
    return lastIndex() == 0;
  }

  /** Returns the term at a position; null when the position is not in memory. */
  public Term termAt(long index) {
    if (index == baseIndex) {
      return baseTerm;
    }
    return index < baseIndex || index > lastIndex() ? null : entry(index).term();
  }

  /** Returns the entry at a position in memory. */
  public LogEntry entry(long index) {
    return entries.get((int) (index - baseIndex - 1));
  }

  /** Returns the entries after a position up to and including another. */
  public List<LogEntry> range(long after, long last) {
    return List.copyOf(entries.subList((int) (after - baseIndex), (int) (last - baseIndex)));
  }

  /** Returns entries after a position, at least one if there is one, up to a size in bytes. */
  public List<LogEntry> batch(long after, int maxBytes) {
    int bytes = 0;
    long last = after;
    while (last < lastIndex()) {
      bytes += entry(last + 1).sizeBytes();
      if (bytes > maxBytes && last > after) {
        break;
      }
      last++;
    }
    return range(after, last);
  }

  /** Appends the entry that follows the last one. */
  public void append(LogEntry entry) {
    if (entry.index().number() != lastIndex() + 1) {
      throw new IllegalArgumentException("gap: " + entry.index() + " after " + lastIndex());
    }
    entries.add(entry);
  }

  /** Drops the entries behind a position. */
  public void truncateAfter(long index) {
    entries.subList((int) (index - baseIndex), entries.size()).clear();
  }

  /** Replaces everything by a snapshot. */
  public void reset(LogSnapshot replacement) {
    entries.clear();
    snapshot = replacement;
    baseIndex = replacement.index().number();
    baseTerm = replacement.term();
  }

  /** Takes a snapshot of applied entries and drops all but some of the entries before it. */
  public void compact(LogSnapshot replacement, int trailingEntries) {
    snapshot = replacement;
    long newBase = Math.max(baseIndex, replacement.index().number() - trailingEntries);
    Term newBaseTerm = termAt(newBase);
    entries.subList(0, (int) (newBase - baseIndex)).clear();
    baseIndex = newBase;
    baseTerm = newBaseTerm;
  }

  /** Returns the members as of the last entry, committed or not. */
  public Membership membership() {
    return membershipAt(lastIndex());
  }

  /** Returns the position of the last change of the membership; 0 when none is in memory. */
  public long membershipIndex() {
    return membershipIndexUpTo(lastIndex());
  }

  /** Returns the members as of a position that is no earlier than the snapshot. */
  public Membership membershipAt(long index) {
    long change = membershipIndexUpTo(index);
    if (change > snapshotIndex()) {
      return entry(change).membership();
    }
    return snapshot == null ? Membership.NONE : snapshot.membership();
  }

  private long membershipIndexUpTo(long index) {
    for (long at = index; at > baseIndex; at--) {
      if (entry(at).membership() != null) {
        return at;
      }
    }
    return 0;
  }

  /** Returns the first position of the run of entries that share the term at a position. */
  public long firstIndexOfTermAt(long index) {
    Term term = termAt(index);
    long first = index;
    while (first - 1 > baseIndex && termAt(first - 1).equals(term)) {
      first--;
    }
    return first;
  }

  /** Returns the index as a typed position. */
  public LogIndex last() {
    return new LogIndex(lastIndex());
  }
}
