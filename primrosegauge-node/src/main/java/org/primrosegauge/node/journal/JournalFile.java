package org.primrosegauge.node.journal;

import java.io.IOException;

/**
 * Port to one file that is written at its end.
 *
 * @since 0.1
 */
public interface JournalFile extends AutoCloseable {

  /**
   * Appends bytes. After a failure any part of them may be in the file.
   *
   * @since 0.1
   */
  void append(byte[] bytes) throws IOException;

  /**
   * Makes all bytes durable.
   *
   * @since 0.1
   */
  void sync() throws IOException;

  @Override
  void close() throws IOException;
}
