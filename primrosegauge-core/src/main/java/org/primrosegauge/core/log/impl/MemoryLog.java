package org.primrosegauge.core.log.impl;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import org.primrosegauge.core.Term;
import org.primrosegauge.core.log.LogEntry;
import org.primrosegauge.core.log.LogIndex;
import org.primrosegauge.core.log.LogSnapshot;
import org.primrosegauge.core.log.Membership;
import org.primrosegauge.core.log.RecoveredLog;

/**
 * In-memory part of the log: the latest snapshot and the latest entries. Indices are plain numbers
 * in this class.
 *
 * <p>Not thread-safe. There is one log per replica.
 *
 * @since 0.1
 */
public final class MemoryLog {

  private final List<LogEntry> entries = new ArrayList<>();

  /** Indices of the entries in memory that change the members. */
  private final TreeSet<Long> membershipChanges = new TreeSet<>();

  private LogSnapshot snapshot;
  private long baseIndex;
  private Term baseTerm = Term.NONE;

  /**
   * Creates a log from the content of a data folder.
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

  /** Returns the latest snapshot; null if there is none. */
  public LogSnapshot snapshot() {
    return snapshot;
  }

  /** Returns the index of the latest snapshot; 0 if there is none. */
  public long snapshotIndex() {
    return snapshot == null ? 0 : snapshot.index().number();
  }

  /** Returns the index before the first entry in memory. */
  public long baseIndex() {
    return baseIndex;
  }

  /** Returns the last index. */
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

  /** Returns whether nothing has ever been logged. */
  public boolean isEmpty() {
    return lastIndex() == 0;
  }

  /** Returns the term of the entry at an index; null if that entry is not in memory. */
  public Term termAt(long index) {
    if (index == baseIndex) {
      return baseTerm;
    }
    return index < baseIndex || index > lastIndex() ? null : entry(index).term();
  }

  /** Returns the entry at an index, which must be in memory. */
  public LogEntry entry(long index) {
    return entries.get((int) (index - baseIndex - 1));
  }

  /** Returns the entries after an index, up to and including {@code last}. */
  public List<LogEntry> range(long after, long last) {
    return List.copyOf(entries.subList((int) (after - baseIndex), (int) (last - baseIndex)));
  }

  /**
   * Returns the entries after an index, up to a total size in bytes, but at least one entry if
   * there is any.
   */
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
      throw new IllegalArgumentException(
          "gap in the log: entry " + entry.index() + " after " + lastIndex());
    }
    entries.add(entry);
    if (entry.membership() != null) {
      membershipChanges.add(entry.index().number());
    }
  }

  /** Removes all entries after an index. */
  public void truncateAfter(long index) {
    entries.subList((int) (index - baseIndex), entries.size()).clear();
    membershipChanges.tailSet(index, false).clear();
  }

  /** Replaces the whole log with a snapshot. */
  public void reset(LogSnapshot replacement) {
    entries.clear();
    membershipChanges.clear();
    snapshot = replacement;
    baseIndex = replacement.index().number();
    baseTerm = replacement.term();
  }

  /**
   * Stores a snapshot and removes the entries that it covers, except for the trailing ones.
   *
   * @param trailingEntries largest number of covered entries that stay
   * @param trailingBytes largest size of the covered entries that stay, in bytes
   */
  public void compact(LogSnapshot replacement, int trailingEntries, int trailingBytes) {
    snapshot = replacement;
    long newBase = trailingBase(replacement.index().number(), trailingEntries, trailingBytes);
    Term newBaseTerm = termAt(newBase);
    entries.subList(0, (int) (newBase - baseIndex)).clear();
    baseIndex = newBase;
    baseTerm = newBaseTerm;
    membershipChanges.headSet(newBase, true).clear();
  }

  /** Returns the index before the first of the trailing entries up to an index. */
  private long trailingBase(long last, int trailingEntries, int trailingBytes) {
    long lowest = Math.max(baseIndex, last - trailingEntries);
    long base = last;
    long bytes = 0;
    while (base > lowest) {
      bytes += entry(base).sizeBytes();
      if (bytes > trailingBytes) {
        break;
      }
      base--;
    }
    return base;
  }

  /** Returns the members as of the last entry, committed or not. */
  public Membership membership() {
    return membershipAt(lastIndex());
  }

  /** Returns the index of the last membership change; 0 if there is none in memory. */
  public long membershipIndex() {
    return membershipIndexUpTo(lastIndex());
  }

  /** Returns the members as of an index, which must not be before the snapshot. */
  public Membership membershipAt(long index) {
    long change = membershipIndexUpTo(index);
    if (change > snapshotIndex()) {
      return entry(change).membership();
    }
    return snapshot == null ? Membership.NONE : snapshot.membership();
  }

  private long membershipIndexUpTo(long index) {
    Long change = membershipChanges.floor(index);
    return change == null ? 0 : change;
  }

  /**
   * Returns the index of the first consecutive entry in memory that has the same term as the entry
   * at an index.
   */
  public long firstIndexOfTermAt(long index) {
    Term term = termAt(index);
    long first = index;
    while (first - 1 > baseIndex && termAt(first - 1).equals(term)) {
      first--;
    }
    return first;
  }

  /** Returns the last index as a {@link LogIndex}. */
  public LogIndex last() {
    return new LogIndex(lastIndex());
  }
}
