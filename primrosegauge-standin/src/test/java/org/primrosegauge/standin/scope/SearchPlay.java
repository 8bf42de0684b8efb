package org.primrosegauge.standin.scope;

import java.util.List;
import java.util.Set;

/** Plays a sequence of events in virtual time and returns what it breaks. */
final class SearchPlay {

  /** Interval at which what waits and what is counted is judged, in milliseconds; no round one. */
  private static final long SAMPLE_MILLIS = 130;

  /** Time after the last event until all troubles are over, in milliseconds. */
  private static final long TROUBLE_MILLIS = 20_000;

  /** Time that jobs have after the troubles, in milliseconds. */
  private static final long SETTLE_MILLIS = 40_000;

  /** Time after the troubles before what waits is judged, in milliseconds. */
  private static final long CALM_MILLIS = 4_000;

  /** Time that a task may wait although it has room, in milliseconds. */
  private static final long LONGEST_WAIT_MILLIS = 3_000;

  private SearchPlay() {}

  /** Plays a sequence whose world is drawn from a seed. */
  static List<SearchJudge.Violation> play(long seed, List<SearchEvent> events) {
    SearchWorld world = new SearchWorld(seed);
    SearchCounts counts = new SearchCounts(world);
    SearchGuarantees guarantees = new SearchGuarantees(world);
    boolean isUndisturbed =
        events.stream().allMatch(event -> SearchKind.UNDISTURBED.contains(event.kind()));
    world.judge.watchGangs(isUndisturbed);
    Runnable sample =
        () -> {
          counts.judge();
          if (isUndisturbed) {
            guarantees.judge();
          }
        };
    for (SearchEvent event : events) {
      run(world, event.afterMillis(), sample);
      event.happenIn(world);
    }
    run(world, TROUBLE_MILLIS, sample);
    world.endTroubles();
    run(world, CALM_MILLIS, sample);
    SearchWaits waits = new SearchWaits(world);
    run(
        world,
        SETTLE_MILLIS,
        () -> {
          sample.run();
          waits.judge(LONGEST_WAIT_MILLIS);
        });
    world.judge.judgeOutcomes();
    return world.judge.violations();
  }

  /** Returns what a sequence breaks of some rules. */
  static List<SearchJudge.Violation> play(
      long seed, List<SearchEvent> events, Set<SearchRule> rules) {
    return play(seed, events).stream()
        .filter(violation -> rules.contains(violation.rule()))
        .toList();
  }

  private static void run(SearchWorld world, long millis, Runnable sample) {
    long end = world.scope.now + millis;
    while (world.scope.now < end) {
      long next = (world.scope.now / SAMPLE_MILLIS + 1) * SAMPLE_MILLIS;
      world.scope.run(Math.min(next, end) - world.scope.now);
      if (world.scope.now >= next) {
        sample.run();
      }
    }
  }
}
