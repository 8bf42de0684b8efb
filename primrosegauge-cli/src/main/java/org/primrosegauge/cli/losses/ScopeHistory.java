package org.primrosegauge.cli.losses;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.primrosegauge.cli.explain.ClockOffsets;
import org.primrosegauge.cli.explain.LogLine;

/**
 * What the log shows of the leaders and the workers of a scope: when nobody led, when each worker
 * was silent, and in which failure domain it is.
 *
 * <p>Immutable.
 */
final class ScopeHistory {

  /** Events that only a leading instance writes. */
  private static final Set<String> BY_LEADER =
      Set.of("ACCEPTED", "PLACED", "STARTED", "ENDED", "STOPPING", "LOAD", "WORKER_SEEN");

  private final List<Interval> leaderless;
  private final Map<String, List<Interval>> silences;
  private final Map<String, String> domains;

  private ScopeHistory(
      List<Interval> leaderless,
      Map<String, List<Interval>> silences,
      Map<String, String> domains) {
    this.leaderless = leaderless;
    this.silences = silences;
    this.domains = domains;
  }

  /** Reads the history from lines in the order of the common clock. */
  static ScopeHistory of(List<LogLine> sorted, ClockOffsets clocks) {
    List<Interval> leaderless = new ArrayList<>();
    Map<String, List<Interval>> silences = new HashMap<>();
    Map<String, Long> silentSince = new HashMap<>();
    Map<String, String> domains = new HashMap<>();
    long lastLedMillis = Long.MIN_VALUE;
    for (LogLine line : sorted) {
      long at = clocks.commonMillis(line);
      String worker = line.value("worker").orElse("");
      switch (line.event()) {
        case "OFFICE_TAKEN" -> {
          if (lastLedMillis != Long.MIN_VALUE) {
            leaderless.add(new Interval(lastLedMillis, at));
          }
        }
        case "WORKER_SEEN" -> domains.put(worker, line.value("domain").orElse(""));
        case "WORKER_SILENT" -> silentSince.putIfAbsent(worker, at);
        case "WORKER_BACK", "WORKER_GONE" -> {
          Long since = silentSince.remove(worker);
          if (since != null) {
            silences.computeIfAbsent(worker, key -> new ArrayList<>()).add(new Interval(since, at));
          }
        }
        default -> {}
      }
      if (line.event().equals("OFFICE_TAKEN") || BY_LEADER.contains(line.event())) {
        lastLedMillis = Math.max(lastLedMillis, at);
      }
    }
    silentSince.forEach(
        (worker, since) ->
            silences
                .computeIfAbsent(worker, key -> new ArrayList<>())
                .add(new Interval(since, Long.MAX_VALUE)));
    return new ScopeHistory(leaderless, silences, domains);
  }

  /** Returns the times without a leader, in order. */
  List<Interval> leaderless() {
    return leaderless;
  }

  /** Returns the times at which a worker was silent, in order. */
  List<Interval> silencesOf(String worker) {
    return silences.getOrDefault(worker, List.of());
  }

  /** Returns the failure domain of a worker; empty if the log does not name it. */
  String domainOf(String worker) {
    return domains.getOrDefault(worker, "");
  }
}
