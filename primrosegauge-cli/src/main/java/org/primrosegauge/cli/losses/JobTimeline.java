package org.primrosegauge.cli.losses;

import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Time of one job along its critical path. The segments follow each other without gaps, so their
 * lengths add up to the time from the first call to the end.
 *
 * @param job id of the job
 * @param queue queue of the job; empty if it was never accepted
 * @param customer customer of the job; empty if unknown
 * @param domain failure domain of the last run; empty if none ran
 * @param outcome how the job ended
 * @param objectiveMillis time in which it should have been done, from its slack and the run times
 *     observed; 0 if unknown
 * @param segments parts of its time, in order
 * @since 0.4
 */
public record JobTimeline(
    String job,
    String queue,
    String customer,
    String domain,
    Outcome outcome,
    long objectiveMillis,
    List<Segment> segments) {

  /** How a job ended, as far as the log shows. */
  public enum Outcome {
    /** All tasks of its last step are done. */
    DONE,
    /** It was refused, and no later call was accepted. */
    NEVER_ACCEPTED,
    /** Its caller cancelled it. */
    CANCELLED,
    /** Its tasks failed too often. */
    FAILED,
    /** The log ends before the job does. */
    OPEN
  }

  /** Copies the segments. */
  public JobTimeline {
    segments = List.copyOf(segments);
  }

  /**
   * Returns when the job was first seen, in milliseconds since 1970.
   *
   * @since 0.4
   */
  public long beginMillis() {
    return segments.get(0).fromMillis();
  }

  /**
   * Returns the time from the first call to the end, in milliseconds.
   *
   * @since 0.4
   */
  public long totalMillis() {
    return segments.get(segments.size() - 1).toMillis() - beginMillis();
  }

  /**
   * Returns whether the job did not meet its objective. Cancelled and failed jobs, and those whose
   * end the log does not show, do not count.
   *
   * @since 0.4
   */
  public boolean isMissed() {
    return outcome == Outcome.NEVER_ACCEPTED
        || outcome == Outcome.DONE && objectiveMillis > 0 && totalMillis() > objectiveMillis;
  }

  /**
   * Returns the time by reason, in milliseconds.
   *
   * @since 0.4
   */
  public Map<TimeReason, Long> millisByReason() {
    Map<TimeReason, Long> sums = new EnumMap<>(TimeReason.class);
    segments.forEach(each -> sums.merge(each.reason(), each.millis(), Long::sum));
    return sums;
  }

  /**
   * Returns the reason that cost the job the most time beside its run; empty if there is none.
   *
   * @since 0.4
   */
  public Optional<TimeReason> mainReason() {
    return millisByReason().entrySet().stream()
        .filter(each -> !each.getKey().isUseful() && each.getValue() > 0)
        .max(Comparator.comparingLong(Map.Entry<TimeReason, Long>::getValue))
        .map(Map.Entry::getKey);
  }
}
