package org.primrosegauge.cli.explain;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.Reader;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.primrosegauge.wire.WireMappers;

/**
 * Reads log lines. A line may have words before its JSON, as tools add that gather the logs of
 * several processes: the last of them names the process. Lines that hold no JSON are counted.
 *
 * <p>Not thread-safe.
 *
 * @since 0.3
 */
public final class LogReader {

  private static final ObjectMapper JSON = WireMappers.json();

  private final List<LogLine> lines = new ArrayList<>();
  private int unreadable;

  // Accessors

  /**
   * Returns the lines read so far, in the order of their reading.
   *
   * @since 0.3
   */
  public List<LogLine> lines() {
    return List.copyOf(lines);
  }

  /**
   * Returns how many lines held no JSON with a time.
   *
   * @since 0.3
   */
  public int unreadable() {
    return unreadable;
  }

  // Main API

  /**
   * Reads all lines of one log.
   *
   * @param source name of the process, for lines that name none
   * @since 0.3
   */
  public void read(String source, Reader text) throws IOException {
    BufferedReader reader = new BufferedReader(text);
    for (String line = reader.readLine(); line != null; line = reader.readLine()) {
      if (!line.isBlank()) {
        parse(source, line).ifPresentOrElse(lines::add, () -> unreadable++);
      }
    }
  }

  // Internals

  private static Optional<LogLine> parse(String source, String line) {
    int begin = line.indexOf('{');
    if (begin < 0) {
      return Optional.empty();
    }
    try {
      JsonNode node = JSON.readTree(line.substring(begin));
      long at = Instant.parse(node.path("@timestamp").asText()).toEpochMilli();
      String message = node.path("message").asText();
      return Optional.of(
          new LogLine(sourceOf(source, line.substring(0, begin)), at, eventOf(message), message));
    } catch (JsonProcessingException | DateTimeParseException e) {
      return Optional.empty();
    }
  }

  private static String sourceOf(String source, String prefix) {
    String[] words = prefix.strip().split("\\s+");
    String last = words[words.length - 1];
    return last.isEmpty() ? source : last;
  }

  private static String eventOf(String message) {
    return message.startsWith("event=") ? message.substring(6).split("\\s", 2)[0] : "";
  }
}
