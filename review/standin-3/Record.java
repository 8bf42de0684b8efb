import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Record of what was sent, answered and run, one line an event. Thread-safe. */
final class Record implements AutoCloseable {

  private final PrintWriter file;
  private final long startNanos = System.nanoTime();

  Record(Path path) throws IOException {
    file = new PrintWriter(Files.newBufferedWriter(path), true);
  }

  /** Returns the time since the start, in milliseconds. */
  long nowMillis() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  /** Writes a line with the time in seconds. */
  synchronized void line(String format, Object... values) {
    file.printf("%8.3f %s%n", nowMillis() / 1_000.0, String.format(format, values));
  }

  @Override
  public synchronized void close() {
    file.close();
  }
}
