package org.primrosegauge.node.journal.impl;

import java.nio.ByteBuffer;

/**
 * Written after a sync, and made durable with the next one at the latest. It tells a damaged record
 * from one that was never synced: only the latter may be cut off.
 *
 * @param segment number of the segment
 * @param offset position up to which the segment was synced, in bytes
 */
record SyncMark(long segment, long offset) {

  private static final int PAYLOAD_BYTES = 2 * Long.BYTES;

  JournalRecord toRecord() {
    byte[] payload = ByteBuffer.allocate(PAYLOAD_BYTES).putLong(segment).putLong(offset).array();
    return new JournalRecord(JournalRecord.Type.SYNC_MARK, payload);
  }

  /**
   * Returns the highest position that marks behind an offset report as synced; 0 when there is no
   * mark. Marks are searched byte by byte, because the length of a damaged record is unknown.
   */
  static long highestAfter(byte[] bytes, int offset, long segment) {
    long highest = 0;
    for (int at = offset; at + JournalRecord.HEADER_BYTES + PAYLOAD_BYTES <= bytes.length; at++) {
      boolean mayBeMark =
          bytes[at] == 0
              && bytes[at + 1] == 0
              && bytes[at + 2] == 0
              && bytes[at + 3] == PAYLOAD_BYTES + 1;
      JournalRecord record = mayBeMark ? JournalRecord.decode(bytes, at) : null;
      if (record != null && record.type() == JournalRecord.Type.SYNC_MARK) {
        ByteBuffer payload = ByteBuffer.wrap(record.payload());
        highest = payload.getLong() == segment ? Math.max(highest, payload.getLong()) : highest;
      }
    }
    return highest;
  }
}
