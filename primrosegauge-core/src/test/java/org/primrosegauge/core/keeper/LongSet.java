package org.primrosegauge.core.keeper;

/** Set of non-zero 64-bit fingerprints: open addressing, eight bytes an entry. */
final class LongSet {

  private long[] slots = new long[1 << 16];
  private int size;

  int size() {
    return size;
  }

  /** Adds a fingerprint; returns false when it was there already. */
  boolean add(long fingerprint) {
    if (size > slots.length / 2) {
      grow();
    }
    boolean added = insert(slots, fingerprint == 0 ? 1 : fingerprint);
    size += added ? 1 : 0;
    return added;
  }

  private void grow() {
    long[] larger = new long[slots.length * 2];
    for (long fingerprint : slots) {
      if (fingerprint != 0) {
        insert(larger, fingerprint);
      }
    }
    slots = larger;
  }

  private static boolean insert(long[] slots, long fingerprint) {
    int index = (int) (fingerprint >>> 20) & (slots.length - 1);
    while (slots[index] != 0) {
      if (slots[index] == fingerprint) {
        return false;
      }
      index = (index + 1) & (slots.length - 1);
    }
    slots[index] = fingerprint;
    return true;
  }
}
