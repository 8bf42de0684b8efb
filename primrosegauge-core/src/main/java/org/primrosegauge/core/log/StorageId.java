package org.primrosegauge.core.log;

import org.primrosegauge.core.Names;

/**
 * Identifies one data folder. It is drawn at random when the folder is created, so an instance that
 * returns with an empty disk has another storage id than before.
 *
 * @param value well-formed id, see {@link Names}
 * @since 0.1
 */
public record StorageId(String value) implements Comparable<StorageId> {

  /** Checks the syntax. */
  public StorageId {
    Names.require("storage", value);
  }

  @Override
  public int compareTo(StorageId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
