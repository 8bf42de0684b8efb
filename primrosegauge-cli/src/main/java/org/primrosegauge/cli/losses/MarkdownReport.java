package org.primrosegauge.cli.losses;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;
import org.primrosegauge.cli.losses.JobTimeline.Outcome;

/**
 * Writes a {@link LossReport}, or the timeline of one job, as Markdown.
 *
 * <p>Stateless.
 *
 * @since 0.4
 */
public final class MarkdownReport {

  private static final double MILLIS_PER_SECOND = 1_000;

  private MarkdownReport() {}

  /**
   * Returns the whole report.
   *
   * @since 0.4
   */
  public static String of(LossReport report) {
    StringBuilder text = new StringBuilder();
    text.append("# Time lost\n\n").append(summary(report)).append("\n\n");
    text.append("| reason | decided over | time of these and other missed jobs, s |");
    text.append(" time of all jobs, s |\n|---|---|---|---|\n");
    for (LossReport.ReasonSum sum : report.byReason()) {
      text.append("| ").append(sum.reason().label());
      text.append(" | ").append(sum.reason().isUseful() ? "" : sum.mainCount());
      text.append(" | ").append(seconds(sum.millis()));
      text.append(" | ").append(seconds(sum.allMillis())).append(" |\n");
    }
    appendGroups(text, "queue", report.byQueue());
    appendGroups(text, "customer", report.byCustomer());
    appendGroups(text, "failure domain of the last run", report.byDomain());
    appendGroups(text, "first call after, s", report.byWindow());
    text.append("\n## Missed jobs\n\n");
    text.append(
        "| job | queue | took, s | objective, s | most time lost |\n|---|---|---|---|---|\n");
    report.missed().forEach(each -> appendMissed(text, each));
    return text.toString();
  }

  /**
   * Returns one line on the number of jobs and how they ended.
   *
   * @since 0.4
   */
  public static String summary(LossReport report) {
    return String.format(
        Locale.ROOT,
        "%d jobs: %d done, %d of them after their objective, %d never accepted, %d cancelled, "
            + "%d failed, %d open at the end of the log; %d lines left out as unreadable",
        report.timelines().size(),
        report.count(Outcome.DONE),
        report.missed().size() - report.count(Outcome.NEVER_ACCEPTED),
        report.count(Outcome.NEVER_ACCEPTED),
        report.count(Outcome.CANCELLED),
        report.count(Outcome.FAILED),
        report.count(Outcome.OPEN),
        report.unreadableLines());
  }

  /**
   * Returns the timeline of one job.
   *
   * @since 0.4
   */
  public static String ofJob(JobTimeline timeline) {
    StringBuilder text = new StringBuilder();
    text.append("# Job ").append(timeline.job()).append("\n\n");
    text.append(
        String.format(
            Locale.ROOT,
            "Queue %s, customer %s, %s; took %s s, objective %s s.%n%n",
            timeline.queue(),
            timeline.customer(),
            timeline.outcome().name().toLowerCase(Locale.ROOT).replace('_', ' '),
            seconds(timeline.totalMillis()),
            seconds(timeline.objectiveMillis())));
    text.append("| from, s | to, s | for, s | reason | detail |\n|---|---|---|---|---|\n");
    for (Segment segment : timeline.segments()) {
      text.append("| ").append(seconds(segment.fromMillis() - timeline.beginMillis()));
      text.append(" | ").append(seconds(segment.toMillis() - timeline.beginMillis()));
      text.append(" | ").append(seconds(segment.millis()));
      text.append(" | ").append(segment.reason().label());
      text.append(" | ").append(segment.detail()).append(" |\n");
    }
    return text.toString();
  }

  private static void appendGroups(
      StringBuilder text, String title, List<LossReport.Group> groups) {
    text.append("\n| ").append(title).append(" | jobs | missed | reasons |\n|---|---|---|---|\n");
    for (LossReport.Group group : groups) {
      text.append("| ").append(group.name());
      text.append(" | ").append(group.jobs());
      text.append(" | ").append(group.missed());
      text.append(" | ").append(reasons(group.mainReasons())).append(" |\n");
    }
  }

  private static String reasons(Map<TimeReason, Integer> counts) {
    return counts.entrySet().stream()
        .map(each -> each.getKey().label() + " " + each.getValue())
        .collect(Collectors.joining(", "));
  }

  private static void appendMissed(StringBuilder text, JobTimeline timeline) {
    String main = timeline.mainReason().map(TimeReason::label).orElse("");
    text.append("| ").append(timeline.job());
    text.append(" | ").append(timeline.queue());
    text.append(" | ").append(seconds(timeline.totalMillis()));
    text.append(" | ").append(seconds(timeline.objectiveMillis()));
    text.append(" | ").append(main).append(" |\n");
  }

  private static String seconds(long millis) {
    return String.format(Locale.ROOT, "%.2f", millis / MILLIS_PER_SECOND);
  }
}
