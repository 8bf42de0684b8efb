package org.primrosegauge.node.journal.impl;

import org.primrosegauge.core.log.StorageId;

/**
 * Content of the format file.
 *
 * @param version version of the format
 * @param storage id of the data folder
 */
record JournalFormat(int version, StorageId storage) {

  /** Version that this release writes and reads. */
  static final int VERSION = 1;
}
