package org.primrosegauge.cli.explain;

import java.util.Optional;

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

  /** Parts of a run's name after its job: occurrence, step, and task with attempt. */
  private static final int RUN_PARTS = 3;

  /** Parts of a step's name after its job: occurrence and step. */
  private static final int STEP_PARTS = 2;

  /**
   * Returns the value of a part of the message, up to the next space.
   *
   * @since 0.3
   */
  public Optional<String> value(String key) {
    String part = key + "=";
    int at = message.indexOf(part);
    while (at > 0 && Character.isJavaIdentifierPart(message.charAt(at - 1))) {
      at = message.indexOf(part, at + 1);
    }
    if (at < 0) {
      return Optional.empty();
    }
    int begin = at + part.length();
    int end = message.indexOf(' ', begin);
    String found = message.substring(begin, end < 0 ? message.length() : end);
    return found.isEmpty() ? Optional.empty() : Optional.of(found);
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
   * Returns the job that the line is about: its id stands as job, in a run or step, or at the end
   * of a path.
   *
   * @since 0.4
   */
  public Optional<String> job() {
    return value("job")
        .or(() -> value("run").flatMap(run -> jobIn(run, RUN_PARTS)))
        .or(() -> value("step").flatMap(step -> jobIn(step, STEP_PARTS)))
        .or(() -> value("path").map(path -> path.substring(path.lastIndexOf('/') + 1)))
        .filter(job -> !job.isEmpty());
  }

  /** Returns what comes before a number of parts that are separated by dots. */
  private static Optional<String> jobIn(String name, int parts) {
    int end = name.length();
    for (int i = 0; i < parts && end > 0; i++) {
      end = name.lastIndexOf('.', end - 1);
    }
    return end > 0 ? Optional.of(name.substring(0, end)) : Optional.empty();
  }

  /**
   * Tells whether the line is about a job.
   *
   * @since 0.3
   */
  public boolean isAbout(String job) {
    return job().filter(job::equals).isPresent();
  }
}
