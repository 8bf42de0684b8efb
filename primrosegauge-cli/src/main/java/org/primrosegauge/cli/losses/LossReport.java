package org.primrosegauge.cli.losses;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import org.primrosegauge.cli.explain.ClockOffsets;
import org.primrosegauge.cli.explain.LogLine;
import org.primrosegauge.cli.losses.JobTimeline.Outcome;

/**
 * Where the time went of the jobs that missed their objective: sums by reason, queue, customer,
 * failure domain and time of the first call.
 *
 * @param timelines all jobs, by the time of their first call
 * @param windowMillis length of the windows, in milliseconds
 * @param unreadableLines lines that hold no JSON with a time
 * @since 0.4
 */
public record LossReport(List<JobTimeline> timelines, long windowMillis, int unreadableLines) {

  /**
   * What a reason has cost.
   *
   * @param mainCount jobs that missed their objective for which it cost the most time
   * @param millis time that it cost those that missed their objective, in milliseconds
   * @param allMillis time that it cost all jobs, in milliseconds
   * @since 0.4
   */
  public record ReasonSum(TimeReason reason, int mainCount, long millis, long allMillis) {}

  /**
   * Jobs that have something in common.
   *
   * @param name what they have in common
   * @param jobs number of jobs
   * @param missed number of those that missed their objective
   * @param mainReasons number of those by the reason that cost them the most time, the most
   *     frequent first
   * @since 0.4
   */
  public record Group(String name, int jobs, int missed, Map<TimeReason, Integer> mainReasons) {}

  /** Copies the timelines. */
  public LossReport {
    timelines = List.copyOf(timelines);
  }

  /**
   * Builds the report from the lines of all processes, in any order.
   *
   * @param windowMillis length of the windows, in milliseconds
   * @since 0.4
   */
  public static LossReport of(List<LogLine> lines, long windowMillis, int unreadableLines) {
    ClockOffsets clocks = ClockOffsets.of(lines);
    List<LogLine> sorted =
        lines.stream().sorted(Comparator.comparingLong(clocks::commonMillis)).toList();
    ScopeHistory scope = ScopeHistory.of(sorted, clocks);
    Map<String, JobLog> logs = new LinkedHashMap<>();
    for (LogLine line : sorted) {
      line.job()
          .ifPresent(
              job ->
                  logs.computeIfAbsent(job, JobLog::new)
                      .add(new JobLog.TimedLine(clocks.commonMillis(line), line)));
    }
    List<JobTimeline> timelines =
        logs.values().stream()
            .filter(LossReport::isJob)
            .map(log -> TimelineBuilder.build(log, scope))
            .sorted(Comparator.comparingLong(JobTimeline::beginMillis))
            .toList();
    return new LossReport(timelines, windowMillis, unreadableLines);
  }

  /** Calls that were refused because they name no queue, key or job are not jobs. */
  private static boolean isJob(JobLog log) {
    return log.accepted().isPresent()
        || log.of("REFUSED").stream().anyMatch(line -> isTemporary(line.value("reason")));
  }

  private static boolean isTemporary(String reason) {
    return switch (reason) {
      case "NO_LEADER", "NO_ANSWER_OF_LEADER", "OVERLOADED", "BACKLOG" -> true;
      default -> false;
    };
  }

  /**
   * Returns the jobs that missed their objective.
   *
   * @since 0.4
   */
  public List<JobTimeline> missed() {
    return timelines.stream().filter(JobTimeline::isMissed).toList();
  }

  /**
   * Returns how many jobs ended in one way.
   *
   * @since 0.4
   */
  public long count(Outcome outcome) {
    return timelines.stream().filter(each -> each.outcome() == outcome).count();
  }

  /**
   * Returns what each reason has cost, the one first that decided over most jobs.
   *
   * @since 0.4
   */
  public List<ReasonSum> byReason() {
    List<ReasonSum> sums = new ArrayList<>();
    for (TimeReason reason : TimeReason.values()) {
      long all = sumOf(timelines, reason);
      long ofMissed = sumOf(missed(), reason);
      int main = (int) missed().stream().filter(each -> isMain(each, reason)).count();
      if (all > 0) {
        sums.add(new ReasonSum(reason, main, ofMissed, all));
      }
    }
    sums.sort(
        Comparator.comparingInt(ReasonSum::mainCount)
            .thenComparingLong(ReasonSum::millis)
            .reversed());
    return sums;
  }

  private static long sumOf(List<JobTimeline> some, TimeReason reason) {
    return some.stream().mapToLong(each -> each.millisByReason().getOrDefault(reason, 0L)).sum();
  }

  private static boolean isMain(JobTimeline timeline, TimeReason reason) {
    return timeline.mainReason().filter(main -> main == reason).isPresent();
  }

  /**
   * Returns the jobs by queue.
   *
   * @since 0.4
   */
  public List<Group> byQueue() {
    return groups(JobTimeline::queue);
  }

  /**
   * Returns the jobs by customer.
   *
   * @since 0.4
   */
  public List<Group> byCustomer() {
    return groups(JobTimeline::customer);
  }

  /**
   * Returns the jobs by the failure domain of their last run.
   *
   * @since 0.4
   */
  public List<Group> byDomain() {
    return groups(JobTimeline::domain);
  }

  private List<Group> groups(Function<JobTimeline, String> keyOf) {
    Map<String, List<JobTimeline>> members = new TreeMap<>();
    for (JobTimeline timeline : timelines) {
      String key = keyOf.apply(timeline);
      members.computeIfAbsent(key.isEmpty() ? "(none)" : key, name -> new ArrayList<>());
      members.get(key.isEmpty() ? "(none)" : key).add(timeline);
    }
    List<Group> groups = new ArrayList<>();
    members.forEach((name, some) -> groups.add(groupOf(name, some)));
    return groups;
  }

  /**
   * Returns the jobs by the window of their first call, in order; a window's name is its beginning
   * in seconds after the first call of all.
   *
   * @since 0.4
   */
  public List<Group> byWindow() {
    if (timelines.isEmpty()) {
      return List.of();
    }
    long first = timelines.get(0).beginMillis();
    Map<Long, List<JobTimeline>> windows = new TreeMap<>();
    for (JobTimeline timeline : timelines) {
      long window = (timeline.beginMillis() - first) / windowMillis;
      windows.computeIfAbsent(window, key -> new ArrayList<>()).add(timeline);
    }
    List<Group> groups = new ArrayList<>();
    windows.forEach(
        (window, some) -> groups.add(groupOf(String.valueOf(window * windowMillis / 1_000), some)));
    return groups;
  }

  private static Group groupOf(String name, List<JobTimeline> members) {
    Map<TimeReason, Integer> reasons = new HashMap<>();
    List<JobTimeline> missed = members.stream().filter(JobTimeline::isMissed).toList();
    for (JobTimeline timeline : missed) {
      timeline.mainReason().ifPresent(reason -> reasons.merge(reason, 1, Integer::sum));
    }
    Map<TimeReason, Integer> sorted = new LinkedHashMap<>();
    reasons.entrySet().stream()
        .sorted(Map.Entry.<TimeReason, Integer>comparingByValue().reversed())
        .forEach(each -> sorted.put(each.getKey(), each.getValue()));
    return new Group(name, members.size(), missed.size(), sorted);
  }
}
