package org.primrosegauge.cli.losses;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.primrosegauge.cli.explain.LogLine;

/**
 * Lines about one job, in the order of the common clock.
 *
 * <p>Not thread-safe while lines are added.
 */
final class JobLog {

  private static final Pattern STEP_LIST = Pattern.compile("steps=\\[(.*)\\]");
  private static final Pattern STEP = Pattern.compile("\\d+x\\d+ms[^,\\[]*(?:\\[([^\\]]*)\\])?");
  private static final Pattern NUMBER = Pattern.compile("\\d{1,9}");

  /**
   * A line and the time of the common clock at which it was written.
   *
   * @param atMillis time, in milliseconds since 1970
   */
  record TimedLine(long atMillis, LogLine line) {

    String event() {
      return line.event();
    }

    String value(String key) {
      return line.value(key).orElse("");
    }
  }

  /**
   * A step of the job.
   *
   * @param dependsOn numbers of the earlier steps that it depends on
   */
  record Step(List<Integer> dependsOn, boolean isGang, boolean hasCheckpoints) {}

  /**
   * One run of a task, as far as the log shows it.
   *
   * @param begin line that says that it started; null if none does
   * @param end line that says that it ended; null if none does
   */
  record Run(RunName name, TimedLine begin, TimedLine end) {

    boolean isDone() {
      return end != null && end.value("outcome").equals("DONE");
    }

    String worker() {
      TimedLine known = end == null ? begin : end;
      return known == null ? "" : known.value("worker");
    }
  }

  private final String job;
  private final List<TimedLine> lines = new ArrayList<>();

  JobLog(String job) {
    this.job = job;
  }

  void add(TimedLine line) {
    lines.add(line);
  }

  String job() {
    return job;
  }

  List<TimedLine> lines() {
    return lines;
  }

  /** Returns the lines of one kind of event. */
  List<TimedLine> of(String event) {
    return lines.stream().filter(line -> line.event().equals(event)).toList();
  }

  /** Returns the first line that says that the job was accepted. */
  Optional<TimedLine> accepted() {
    return of("ACCEPTED").stream().findFirst();
  }

  /** Returns when the caller first handed the job in, as far as the log shows. */
  long firstCallMillis() {
    return lines.stream()
        .mapToLong(line -> line.atMillis() - millisOf(line, "waited_ms"))
        .min()
        .orElseThrow();
  }

  private static long millisOf(TimedLine line, String key) {
    String text = line.value(key);
    return NUMBER.matcher(text).matches() ? Long.parseLong(text) : 0;
  }

  /** Returns a number of the line of acceptance; empty if it has none. */
  OptionalDouble acceptedNumber(String key) {
    String text = accepted().map(line -> line.value(key)).orElse("");
    try {
      return text.isEmpty() ? OptionalDouble.empty() : OptionalDouble.of(Double.parseDouble(text));
    } catch (NumberFormatException e) {
      return OptionalDouble.empty();
    }
  }

  /** Returns the steps as the line of acceptance describes them. */
  List<Step> steps() {
    String text = accepted().map(line -> line.line().message()).orElse("");
    Matcher list = STEP_LIST.matcher(text);
    List<Step> found = new ArrayList<>();
    if (list.find()) {
      Matcher step = STEP.matcher(list.group(1));
      while (step.find()) {
        String after = step.group(1) == null ? "" : step.group(1);
        boolean isGang = step.group().contains(" gang");
        boolean hasCheckpoints = step.group().contains(" checkpoints");
        found.add(new Step(numbersIn(after, found.size()), isGang, hasCheckpoints));
      }
    }
    return found;
  }

  /** Returns the numbers in a text that are below a limit. */
  private static List<Integer> numbersIn(String text, int limit) {
    return NUMBER
        .matcher(text)
        .results()
        .map(found -> Integer.valueOf(found.group()))
        .filter(number -> number < limit)
        .toList();
  }

  /** Returns the runs of the first occurrence, by step and task, in the order of their attempts. */
  Map<Integer, Map<Integer, List<Run>>> runs() {
    Map<Integer, Map<Integer, Map<Integer, Run>>> found = new TreeMap<>();
    for (TimedLine line : lines) {
      RunName name = RunName.parse(line.value("run")).orElse(null);
      boolean isRelevant = line.event().equals("STARTED") || line.event().equals("ENDED");
      if (name == null || name.occurrence() != 0 || !isRelevant) {
        continue;
      }
      boolean isBegin = line.event().equals("STARTED");
      Run added = isBegin ? new Run(name, line, null) : new Run(name, null, line);
      found
          .computeIfAbsent(name.step(), step -> new TreeMap<>())
          .computeIfAbsent(name.task(), task -> new TreeMap<>())
          .merge(name.attempt(), added, JobLog::join);
    }
    Map<Integer, Map<Integer, List<Run>>> runs = new TreeMap<>();
    found.forEach(
        (step, tasks) -> {
          Map<Integer, List<Run>> byTask = new TreeMap<>();
          tasks.forEach((task, attempts) -> byTask.put(task, List.copyOf(attempts.values())));
          runs.put(step, byTask);
        });
    return runs;
  }

  private static Run join(Run earlier, Run later) {
    return new Run(
        earlier.name(),
        earlier.begin() == null ? later.begin() : earlier.begin(),
        earlier.end() == null ? later.end() : earlier.end());
  }
}
