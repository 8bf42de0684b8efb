package org.primrosegauge.node.journal.impl;

import java.io.IOException;
import org.primrosegauge.core.StorageException;
import org.primrosegauge.core.StorageUnavailableException;

/** Creates the journal's errors. Stateless. */
public final class StorageErrors {

  private static final String START_EMPTY =
      "keep this folder for analysis and start the instance with an empty one: it comes back as a"
          + " learner and is readmitted; do not copy files from another instance";

  private static final String CHECK_DISK =
      "check the disk for errors and free space; the instance keeps its log again once the disk"
          + " takes writes";

  private StorageErrors() {}

  /** A record that was synced cannot be read any more. */
  public static StorageException damaged(String what, String location, Throwable cause) {
    return new StorageException("the journal is damaged: " + what, START_EMPTY, location, cause);
  }

  /** The folder holds something else. */
  public static StorageException foreign(String what, String location) {
    return new StorageException(
        "the data folder belongs to something else: " + what,
        "name an empty folder in the settings, or move its content away",
        location);
  }

  /** The folder was written by another release. */
  public static StorageException otherFormat(int version, String location) {
    return new StorageException(
        "the data folder has format " + version + ", this release needs " + JournalFormat.VERSION,
        "run the release that wrote it, or start with an empty folder to come back as a learner",
        location);
  }

  /** Another process has the folder. */
  public static StorageException inUse(String location) {
    return new StorageException(
        "the data folder is in use by another process",
        "stop the other process, or give each instance a folder of its own",
        location);
  }

  /** An operation of the file system failed, for example because the disk is full. */
  public static StorageException failed(String operation, String location, IOException cause) {
    return new StorageUnavailableException(
        operation + " failed: " + cause.getMessage(), CHECK_DISK, location, cause);
  }

  /** An earlier operation failed, so what is durable is not known. */
  public static StorageException closed(String location) {
    return new StorageUnavailableException(
        "the journal is closed because an earlier write or sync failed", CHECK_DISK, location);
  }
}
