package org.primrosegauge.cli.explain;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * How far the clocks of processes differ, from lines that several processes write at nearly the
 * same moment: each one that learns of a new leader names its term.
 *
 * @since 0.3
 */
public final class ClockOffsets {

  /** Differences below this may be the time that the news took. */
  private static final long LEAST_MILLIS = 1_500;

  private final Map<String, Long> offsets;

  private ClockOffsets(Map<String, Long> offsets) {
    this.offsets = offsets;
  }

  /**
   * Estimates the offsets.
   *
   * @since 0.3
   */
  public static ClockOffsets of(List<LogLine> lines) {
    Map<String, List<Long>> differences = new HashMap<>();
    for (Map.Entry<String, Map<String, Long>> term : firstSeen(lines).entrySet()) {
      long middle = median(new ArrayList<>(term.getValue().values()));
      term.getValue()
          .forEach(
              (source, at) ->
                  differences.computeIfAbsent(source, key -> new ArrayList<>()).add(at - middle));
    }
    Map<String, Long> found = new HashMap<>();
    differences.forEach(
        (source, all) -> {
          long offset = median(all);
          if (Math.abs(offset) >= LEAST_MILLIS) {
            found.put(source, offset);
          }
        });
    return new ClockOffsets(found);
  }

  /**
   * Returns when a line was written by the clock that most processes share, in milliseconds.
   *
   * @since 0.3
   */
  public long commonMillis(LogLine line) {
    return line.atMillis() - offsets.getOrDefault(line.source(), 0L);
  }

  /**
   * Returns the processes whose clock differs, with the difference in milliseconds.
   *
   * @since 0.3
   */
  public Map<String, Long> differing() {
    return Map.copyOf(offsets);
  }

  /** Returns when each process first named each term with a leader. */
  private static Map<String, Map<String, Long>> firstSeen(List<LogLine> lines) {
    Map<String, Map<String, Long>> seen = new HashMap<>();
    for (LogLine line : lines) {
      boolean namesLeader =
          line.event().equals("LEADER")
              && line.value("leader").filter(leader -> !leader.equals("null")).isPresent();
      if (namesLeader) {
        seen.computeIfAbsent(line.value("term").orElse(""), term -> new HashMap<>())
            .merge(line.source(), line.atMillis(), Math::min);
      }
    }
    return seen;
  }

  private static long median(List<Long> values) {
    values.sort(null);
    return values.get((values.size() - 1) / 2);
  }
}
