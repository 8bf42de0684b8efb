package org.primrosegauge.node.journal.impl;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.primrosegauge.core.StorageException;
import org.primrosegauge.core.log.HardState;
import org.primrosegauge.core.log.LogEntry;
import org.primrosegauge.core.log.LogSnapshot;
import org.primrosegauge.node.journal.JournalFolder;

/**
 * Reads the segments and snapshots of a folder, cuts a torn tail off and removes files that are no
 * longer needed.
 *
 * <p>Single-threaded; used once for each start.
 */
final class JournalRecovery {

  private final JournalFolder folder;
  private final JournalCodec codec;
  private final JournalContent content = new JournalContent();

  JournalRecovery(JournalFolder folder, JournalCodec codec) {
    this.folder = folder;
    this.codec = codec;
  }

  /** Returns what was read. */
  JournalContent content() {
    return content;
  }

  /**
   * Reads everything.
   *
   * @return number of the last segment
   */
  long recover() throws StorageException, IOException {
    List<Segment> segments = readSegments();
    Segment last = segments.get(segments.size() - 1);
    for (Segment segment : segments) {
      replay(segment, segment == last);
    }
    removeUnused(segments.get(0));
    return last.number();
  }

  private record Segment(long number, byte[] bytes, SegmentStart start) {
    String name() {
      return JournalNames.segment(number);
    }
  }

  /** Returns the segments from the latest base on. */
  private List<Segment> readSegments() throws StorageException, IOException {
    List<Long> numbers = JournalNames.segments(folder.list());
    List<Segment> segments = new ArrayList<>();
    for (int i = numbers.size() - 1; i >= 0; i--) {
      Segment segment = read(numbers.get(i));
      if (segment.start() == null) {
        dropUnfinished(segment, i == numbers.size() - 1);
        continue;
      }
      requireNeighbour(segment, segments);
      segments.add(0, segment);
      if (segment.start().base()) {
        return segments;
      }
    }
    throw StorageErrors.damaged("the first segment is missing", folder.toString(), null);
  }

  private Segment read(long number) throws StorageException, IOException {
    byte[] bytes = folder.read(JournalNames.segment(number));
    JournalRecord first = JournalRecord.decode(bytes, 0);
    boolean isStart = first != null && first.type() == JournalRecord.Type.START;
    SegmentStart start = isStart ? codec.read(first, SegmentStart.class) : null;
    if (start != null && start.segment() != number) {
      throw StorageErrors.damaged("the segment was renamed", location(number, 0), null);
    }
    return new Segment(number, bytes, start);
  }

  private void dropUnfinished(Segment segment, boolean isLast)
      throws StorageException, IOException {
    boolean wasSynced = SyncMark.highestAfter(segment.bytes(), 0, segment.number()) > 0;
    if (!isLast || wasSynced) {
      throw StorageErrors.damaged("no start record", location(segment.number(), 0), null);
    }
    folder.delete(segment.name());
    folder.sync();
  }

  private void requireNeighbour(Segment segment, List<Segment> later) throws StorageException {
    if (!later.isEmpty() && later.get(0).number() != segment.number() + 1) {
      String what = "segment " + (segment.number() + 1) + " is missing";
      throw StorageErrors.damaged(what, folder.toString(), null);
    }
  }

  private void replay(Segment segment, boolean isLast) throws StorageException, IOException {
    int offset = 0;
    while (offset < segment.bytes().length) {
      JournalRecord record = JournalRecord.decode(segment.bytes(), offset);
      if (record == null) {
        cut(segment, offset, isLast);
        return;
      }
      apply(segment, offset, record);
      offset += record.sizeBytes();
    }
  }

  private void cut(Segment segment, int offset, boolean isLast)
      throws StorageException, IOException {
    long synced = SyncMark.highestAfter(segment.bytes(), offset, segment.number());
    if (!isLast || synced > offset) {
      throw StorageErrors.damaged(
          "a record that was synced cannot be read", location(segment.number(), offset), null);
    }
    folder.truncate(segment.name(), offset);
  }

  private void apply(Segment segment, int offset, JournalRecord record) throws StorageException {
    try {
      switch (record.type()) {
        case START -> start(codec.read(record, SegmentStart.class));
        case HARD_STATE -> content.apply(codec.read(record, HardState.class));
        case ENTRY -> content.apply(codec.read(record, LogEntry.class));
        case SYNC_MARK -> {}
        default -> throw new IOException("unexpected record " + record.type());
      }
    } catch (IOException | IllegalArgumentException e) {
      String what = "a record cannot be applied";
      throw StorageErrors.damaged(what, location(segment.number(), offset), e);
    }
  }

  private void start(SegmentStart start) throws IOException, StorageException {
    if (start.base() && start.snapshotIndex().number() > 0) {
      content.reset(readSnapshot(JournalNames.snapshot(start)));
    }
  }

  private LogSnapshot readSnapshot(String name) throws IOException, StorageException {
    if (!folder.list().contains(name)) {
      throw StorageErrors.damaged("snapshot " + name + " is missing", folder.toString(), null);
    }
    JournalRecord record = JournalRecord.decode(folder.read(name), 0);
    if (record == null || record.type() != JournalRecord.Type.SNAPSHOT) {
      throw StorageErrors.damaged("a snapshot cannot be read", folder + "/" + name, null);
    }
    return codec.read(record, LogSnapshot.class);
  }

  private void removeUnused(Segment first) throws IOException {
    // A process that was killed may not have synced the names that replace what is deleted here.
    folder.sync();
    String snapshot =
        first.start().snapshotIndex().number() > 0 ? JournalNames.snapshot(first.start()) : "";
    for (String name : folder.list()) {
      if (JournalNames.isUnused(name, first.number(), snapshot)) {
        folder.delete(name);
      }
    }
    folder.sync();
  }

  private String location(long segment, int offset) {
    return folder + "/" + JournalNames.segment(segment) + " at byte " + offset;
  }
}
