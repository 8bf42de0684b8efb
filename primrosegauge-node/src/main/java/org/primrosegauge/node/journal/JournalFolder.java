package org.primrosegauge.node.journal;

import java.io.IOException;
import java.util.List;

/**
 * Port to the files of one folder. Tests put a folder behind it that fails or loses what was not
 * synced.
 *
 * @since 0.1
 */
public interface JournalFolder {

  /**
   * Takes the folder for this process alone, creating it if need be.
   *
   * @return what gives it up when closed; null when another process has it
   * @since 0.1
   */
  AutoCloseable lock() throws IOException;

  /**
   * Returns the names of the files, without the lock file.
   *
   * @since 0.1
   */
  List<String> list() throws IOException;

  /**
   * Returns the content of a file.
   *
   * @since 0.1
   */
  byte[] read(String name) throws IOException;

  /**
   * Opens a file to append to it, creating it if need be.
   *
   * @since 0.1
   */
  JournalFile open(String name) throws IOException;

  /**
   * Cuts a file off at a length and makes that durable.
   *
   * @since 0.1
   */
  void truncate(String name, long length) throws IOException;

  /**
   * Renames a file, replacing another of that name in one step.
   *
   * @since 0.1
   */
  void rename(String from, String to) throws IOException;

  /**
   * Deletes a file if it is there.
   *
   * @since 0.1
   */
  void delete(String name) throws IOException;

  /**
   * Makes the creations, renames and deletions durable.
   *
   * @since 0.1
   */
  void sync() throws IOException;

  /**
   * Returns the folder's path, for messages.
   *
   * @since 0.1
   */
  @Override
  String toString();
}
