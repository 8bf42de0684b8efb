package lab;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a run of a case: what was sent, answered and run, with the time since its start. */
final class Record implements AutoCloseable {

  private final PrintWriter out;
  private final long start = System.nanoTime();

  Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file));
  }

  /** Milliseconds since the start of the run. */
  long now() {
    return (System.nanoTime() - start) / 1_000_000;
  }

  synchronized void line(String text) {
    out.printf("%8.3f %s%n", now() / 1000.0, text);
    out.flush();
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}
