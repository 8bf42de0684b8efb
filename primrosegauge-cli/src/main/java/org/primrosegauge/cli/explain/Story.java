package org.primrosegauge.cli.explain;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * All lines about one job in order of time, with those about the workers and the leader that may
 * explain them.
 *
 * @param job id of the job
 * @param lines the lines, in order of time by the common clock
 * @param clocks offsets of the processes' clocks
 * @since 0.3
 */
public record Story(String job, List<LogLine> lines, ClockOffsets clocks) {

  /**
   * Time before the first and after the last line of the job that still counts, in milliseconds.
   */
  private static final long MARGIN_MILLIS = 3_000;

  private static final Set<String> ABOUT_SCOPE =
      Set.of("LEADER", "OFFICE_TAKEN", "OFFICE_LEFT", "START", "STOP", "CONFIGURED", "DOMAIN");
  private static final Set<String> ABOUT_WORKER =
      Set.of("WORKER_SILENT", "WORKER_GONE", "WORKER_ASIDE", "WORKER_DRAINING", "WORKER_BACK");

  /**
   * Collects the story of a job; without lines when it is named nowhere.
   *
   * @since 0.3
   */
  public static Story of(String job, List<LogLine> all) {
    ClockOffsets clocks = ClockOffsets.of(all);
    List<LogLine> own = all.stream().filter(line -> line.isAbout(job)).toList();
    if (own.isEmpty()) {
      return new Story(job, List.of(), clocks);
    }
    long first = own.stream().mapToLong(clocks::commonMillis).min().orElseThrow();
    long last = own.stream().mapToLong(clocks::commonMillis).max().orElseThrow();
    Set<String> workers =
        own.stream().flatMap(line -> line.value("worker").stream()).collect(Collectors.toSet());
    Set<LogLine> told = new HashSet<>(own);
    List<LogLine> lines =
        all.stream()
            .filter(line -> told.contains(line) || isContext(line, workers))
            .filter(line -> clocks.commonMillis(line) >= first - MARGIN_MILLIS)
            .filter(line -> clocks.commonMillis(line) <= last + MARGIN_MILLIS)
            .sorted(Comparator.comparingLong(clocks::commonMillis))
            .toList();
    return new Story(job, lines, clocks);
  }

  private static boolean isContext(LogLine line, Set<String> workers) {
    return ABOUT_SCOPE.contains(line.event())
        || (ABOUT_WORKER.contains(line.event())
            && line.value("worker").filter(workers::contains).isPresent());
  }

  /**
   * Returns the lines of one kind of event about the job itself.
   *
   * @since 0.3
   */
  public List<LogLine> own(String event) {
    return lines.stream().filter(line -> line.event().equals(event) && line.isAbout(job)).toList();
  }

  /**
   * Returns the lines of one kind of event about workers or the scope.
   *
   * @since 0.3
   */
  public List<LogLine> context(String event) {
    return lines.stream().filter(line -> line.event().equals(event) && !line.isAbout(job)).toList();
  }

  /**
   * Returns the runs of the job that ended in one way.
   *
   * @since 0.3
   */
  public List<LogLine> ended(String outcome) {
    return own("ENDED").stream()
        .filter(line -> line.value("outcome").filter(outcome::equals).isPresent())
        .toList();
  }

  /**
   * Returns the time between two lines, in seconds.
   *
   * @since 0.3
   */
  public double secondsBetween(LogLine one, LogLine other) {
    return (clocks.commonMillis(other) - clocks.commonMillis(one)) / 1_000.0;
  }
}
