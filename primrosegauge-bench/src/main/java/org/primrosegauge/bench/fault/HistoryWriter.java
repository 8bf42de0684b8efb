package org.primrosegauge.bench.fault;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Appends events to the driver's history as JSON lines.
 *
 * <p>Thread-safe.
 *
 * @since 0.1
 */
public final class HistoryWriter implements AutoCloseable {

  private static final ObjectMapper JSON = new ObjectMapper();

  private final BufferedWriter writer;

  /**
   * Creates or empties the file.
   *
   * @since 0.1
   */
  public HistoryWriter(Path file) throws IOException {
    writer = Files.newBufferedWriter(file);
  }

  /**
   * Appends one event.
   *
   * @since 0.1
   */
  public synchronized void write(HistoryEvent event) {
    try {
      writer.write(JSON.writeValueAsString(event));
      writer.newLine();
      writer.flush();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  @Override
  public synchronized void close() throws IOException {
    writer.close();
  }
}
