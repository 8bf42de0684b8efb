package org.primrosegauge.cli.explain;

import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Names the likely causes of what became of a job, the most telling first. Each rule looks at the
 * lines alone.
 *
 * @since 0.3
 */
public final class Causes {

  /** A wait that callers notice, in seconds. */
  private static final double LONG_WAIT_SECONDS = 1.0;

  /** Rules in order of how much they explain; each returns null where it does not apply. */
  private static final List<Function<Story, String>> RULES =
      List.of(
          Causes::refused,
          Causes::cancelled,
          Causes::failed,
          Causes::unknown,
          Causes::workerLost,
          Causes::preempted,
          Causes::stalled,
          Causes::brokenGang,
          Causes::startsInDoubt,
          Causes::leaderChanged,
          Causes::waited,
          Causes::waitedForRoom,
          Causes::farFromData,
          Causes::open);

  private Causes() {}

  /**
   * Returns the likely causes; empty where the lines show nothing out of the ordinary.
   *
   * @since 0.3
   */
  public static List<String> of(Story story) {
    return RULES.stream().map(rule -> rule.apply(story)).filter(Objects::nonNull).toList();
  }

  private static String refused(Story story) {
    List<LogLine> refusals = story.own("REFUSED");
    if (refusals.isEmpty() || !story.own("ACCEPTED").isEmpty()) {
      return null;
    }
    LogLine last = refusals.get(refusals.size() - 1);
    return "refused, never accepted: " + reason(last) + " at " + last.source();
  }

  private static String reason(LogLine refusal) {
    String reason = refusal.value("reason").orElse("?");
    return switch (reason) {
      case "NO_LEADER" -> reason + " (no leader answered; nothing was carried out)";
      case "NO_ANSWER_OF_LEADER" -> reason + " (the leader may have carried it out)";
      case "NO_QUEUE" -> reason + " (host and path belong to no queue in force)";
      case "UNKNOWN_KEY" -> reason + " (the key belongs to no customer in force)";
      case "OVERLOADED" -> reason + " (too much waits for the log)";
      default -> reason;
    };
  }

  private static String cancelled(Story story) {
    return story.own("CANCELLED").isEmpty() ? null : "cancelled by its caller";
  }

  private static String failed(Story story) {
    List<LogLine> failed = story.ended("FAILED");
    if (failed.isEmpty()) {
      return null;
    }
    long workers = failed.stream().map(line -> line.value("worker")).distinct().count();
    String aside =
        story.context("WORKER_ASIDE").isEmpty()
            ? ""
            : "; other work failed or stood still there too";
    return failed.size() + " runs failed on " + workers + " workers" + aside;
  }

  private static String unknown(Story story) {
    boolean isOpen =
        story.own("REFUSED").stream()
            .anyMatch(line -> line.value("reason").orElse("").equals("NO_ANSWER_OF_LEADER"));
    return isOpen && !story.own("ACCEPTED").isEmpty()
        ? "an answer of the leader was lost; the job was accepted all the same"
        : null;
  }

  private static String workerLost(Story story) {
    int lost = story.ended("LAPSED").size() + story.ended("WORKER_LOST").size();
    if (lost == 0) {
      return null;
    }
    String silent =
        story.context("WORKER_SILENT").stream()
            .flatMap(line -> line.value("worker").stream())
            .distinct()
            .collect(Collectors.joining(", "));
    return lost
        + " runs ended because their worker was lost or cut off"
        + (silent.isEmpty() ? "" : " (silent: " + silent + ")");
  }

  private static String preempted(Story story) {
    List<LogLine> stops =
        story.own("STOPPING").stream()
            .filter(line -> line.rest("why").startsWith("preempted by "))
            .toList();
    if (stops.isEmpty()) {
      return null;
    }
    String by =
        stops.stream()
            .map(line -> line.rest("why").substring("preempted by ".length()))
            .distinct()
            .collect(Collectors.joining(", "));
    return stops.size() + " runs were stopped to make room for urgent work: " + by;
  }

  private static String stalled(Story story) {
    long stops =
        story.own("STOPPING").stream()
            .filter(line -> line.rest("why").equals("no progress"))
            .count();
    return stops == 0 ? null : stops + " runs stood still and were started again";
  }

  private static String brokenGang(Story story) {
    int broken = story.ended("BROKEN").size();
    return broken == 0 ? null : broken + " runs ended because another member of their gang did";
  }

  private static String startsInDoubt(Story story) {
    int unanswered = story.own("START_UNANSWERED").size();
    int rejected = story.own("START_REJECTED").size();
    return unanswered + rejected == 0
        ? null
        : unanswered + " starts got no answer, " + rejected + " were rejected";
  }

  private static String leaderChanged(Story story) {
    long taken = story.context("OFFICE_TAKEN").size();
    return taken == 0 ? null : "the leader changed meanwhile (" + taken + " times)";
  }

  private static String waited(Story story) {
    if (story.own("ACCEPTED").isEmpty() || story.own("STARTED").isEmpty()) {
      return null;
    }
    double seconds =
        story.secondsBetween(story.own("ACCEPTED").get(0), story.own("STARTED").get(0));
    return seconds < LONG_WAIT_SECONDS
        ? null
        : String.format(Locale.ROOT, "waited %.1f s for workers before its first start", seconds);
  }

  private static String waitedForRoom(Story story) {
    if (story.own("PREEMPTING").isEmpty() || story.own("STARTED").isEmpty()) {
      return null;
    }
    LogLine asked = story.own("PREEMPTING").get(0);
    double seconds = story.secondsBetween(asked, story.own("STARTED").get(0));
    return String.format(
        Locale.ROOT,
        "waited %.1f s until %s other runs had given way",
        seconds,
        asked.value("victims").orElse("?"));
  }

  private static String farFromData(Story story) {
    boolean isSpread =
        story.own("PLACED").stream().anyMatch(line -> !line.value("racks").orElse("1").equals("1"));
    boolean wantsOne =
        story.own("ACCEPTED").stream().anyMatch(line -> line.message().contains("rack-local"));
    return isSpread && wantsOne ? "placed on several racks though it is faster on one" : null;
  }

  private static String open(Story story) {
    boolean isAccepted = !story.own("ACCEPTED").isEmpty();
    return isAccepted && story.own("ENDED").isEmpty() ? "no run has ended in these lines" : null;
  }
}
