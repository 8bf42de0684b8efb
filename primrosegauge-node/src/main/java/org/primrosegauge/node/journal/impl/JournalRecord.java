package org.primrosegauge.node.journal.impl;

import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/**
 * One record of a file: a 4-byte length of type and payload, a 4-byte CRC-32C of them, the type and
 * the payload.
 *
 * @param type what the payload is
 * @param payload content
 */
record JournalRecord(Type type, byte[] payload) {

  /** Bytes before the payload. */
  static final int HEADER_BYTES = 9;

  /** What a payload is. The order is part of the format. */
  enum Type {
    /** First record of a segment. */
    START,
    /** Term and vote. */
    HARD_STATE,
    /** One entry, which replaces those at its position and behind. */
    ENTRY,
    /** Position up to which the segment was synced. */
    SYNC_MARK,
    /** A snapshot, alone in its file. */
    SNAPSHOT,
    /** Format and storage id, alone in its file. */
    FORMAT
  }

  /** Returns the bytes of the record. */
  byte[] encode() {
    ByteBuffer buffer = ByteBuffer.allocate(sizeBytes());
    buffer.putInt(payload.length + 1);
    buffer.putInt(checksum((byte) type.ordinal(), payload, 0, payload.length));
    buffer.put((byte) type.ordinal());
    buffer.put(payload);
    return buffer.array();
  }

  /** Returns the length of the record in its file. */
  int sizeBytes() {
    return HEADER_BYTES + payload.length;
  }

  /** Reads the record at a position; null when there is no whole and undamaged one. */
  static JournalRecord decode(byte[] bytes, int offset) {
    if (bytes.length - offset < HEADER_BYTES) {
      return null;
    }
    ByteBuffer buffer = ByteBuffer.wrap(bytes, offset, bytes.length - offset);
    int length = buffer.getInt();
    int checksum = buffer.getInt();
    byte type = buffer.get();
    boolean fits = length >= 1 && length - 1 <= buffer.remaining();
    if (!fits || type < 0 || type >= Type.values().length) {
      return null;
    }
    if (checksum(type, bytes, offset + HEADER_BYTES, length - 1) != checksum) {
      return null;
    }
    byte[] payload = new byte[length - 1];
    buffer.get(payload);
    return new JournalRecord(Type.values()[type], payload);
  }

  private static int checksum(byte type, byte[] bytes, int offset, int length) {
    CRC32C crc = new CRC32C();
    crc.update(type);
    crc.update(bytes, offset, length);
    return (int) crc.getValue();
  }
}
