package org.primrosegauge.cli.explain;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One line of a process's log.
 *
 * @param source process that wrote it
 * @param atMillis time of day at that process, in milliseconds since 1970
 * @param event name of the event; empty for lines without one
 * @param message message, with {@code key=value} parts
 * @since 0.3
 */
public record LogLine(String source, long atMillis, String event, String message) {

  private static final Pattern RUN = Pattern.compile("\\brun=(\\S+?)\\.\\d+\\.\\d+\\.\\d+#\\d+");
  private static final Pattern STEP = Pattern.compile("\\bstep=(\\S+?)\\.\\d+\\.\\d+(?:\\s|$)");

  /**
   * Returns the value of a part of the message, up to the next space.
   *
   * @since 0.3
   */
  public Optional<String> value(String key) {
    Matcher found = Pattern.compile("\\b" + Pattern.quote(key) + "=(\\S+)").matcher(message);
    return found.find() ? Optional.of(found.group(1)) : Optional.empty();
  }

  /**
   * Returns what follows a key up to the end of the message, for values with spaces.
   *
   * @since 0.3
   */
  public String rest(String key) {
    int at = message.indexOf(key + "=");
    return at < 0 ? "" : message.substring(at + key.length() + 1).strip();
  }

  /**
   * Tells whether the line is about a job: its id stands as job, in a run or step, or at the end of
   * a path.
   *
   * @since 0.3
   */
  public boolean isAbout(String job) {
    return value("job").filter(job::equals).isPresent()
        || isIn(RUN, job)
        || isIn(STEP, job)
        || value("path").filter(path -> path.endsWith("/" + job)).isPresent();
  }

  private boolean isIn(Pattern pattern, String job) {
    Matcher found = pattern.matcher(message);
    return found.find() && found.group(1).equals(job);
  }
}
