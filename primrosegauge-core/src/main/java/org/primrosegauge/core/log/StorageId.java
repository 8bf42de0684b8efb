package org.primrosegauge.core.log;

import org.primrosegauge.core.IdSyntax;

/**
 * Identifies a data folder. The id is generated at random when the folder is created, so an
 * instance that comes back with an empty disk has a different storage id.
 *
 * @param value well-formed id, see {@link IdSyntax}
 * @since 0.1
 */
public record StorageId(String value) implements Comparable<StorageId> {

  /** Rejects ids that are not well-formed. */
  public StorageId {
    IdSyntax.require("storage", value);
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
