package org.primrosegauge.core.log;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.primrosegauge.core.log.LogStep.Kind;

/**
 * Random schedules that lose disks as the users may: as many at once as are tolerated, and the next
 * one once the instance has been back for some seconds in which a leader could serve. Meanwhile any
 * number of instances is silent, crashes or loses power. Guards against a log that loses its quorum
 * or something acknowledged by that.
 *
 * <p>The system properties {@code primrosegauge.tolerance.runs} and {@code
 * primrosegauge.tolerance.firstSeed} select more or other schedules.
 */
class LogToleranceTest {

  private static final int RUNS = Integer.getInteger("primrosegauge.tolerance.runs", 20);
  private static final int FIRST_SEED = Integer.getInteger("primrosegauge.tolerance.firstSeed", 0);
  private static final int MAX_REPORTED = 3;

  private static final Kind[] KINDS =
      kinds(
          weight(30, Kind.RUN),
          weight(4, Kind.PROPOSE),
          weight(8, Kind.RACE),
          weight(4, Kind.CUT_ONE_WAY),
          weight(4, Kind.CUT_BOTH_WAYS),
          weight(9, Kind.HEAL),
          weight(10, Kind.FREEZE),
          weight(6, Kind.CRASH),
          weight(3, Kind.POWER_LOSS),
          weight(16, Kind.RESTART),
          weight(3, Kind.HAND_OVER),
          weight(12, Kind.WIPE),
          weight(2, Kind.LOSS));

  @ParameterizedTest
  @EnumSource(ToleranceSite.class)
  void logKeepsQuorumAndAcknowledgedEntries(ToleranceSite site) {
    List<String> failures = new ArrayList<>();
    int failed = 0;
    for (int seed = FIRST_SEED; seed < FIRST_SEED + RUNS; seed++) {
      List<LogStep> schedule = schedule(seed);
      String failure = ToleranceRun.failure(site, seed, schedule);
      if (failure != null) {
        failed++;
        if (failures.size() < MAX_REPORTED) {
          failures.add(describe(site, seed, schedule));
        }
      }
    }
    assertWithMessage("%s of %s schedules from seed %s: %s", failed, RUNS, FIRST_SEED, failures)
        .that(failed)
        .isEqualTo(0);
  }

  private static String describe(ToleranceSite site, int seed, List<LogStep> schedule) {
    List<LogStep> shortest = shorten(site, seed, schedule);
    return "\nseed " + seed + ": " + ToleranceRun.failure(site, seed, shortest);
  }

  /** Removes steps as long as the schedule fails without them. */
  private static List<LogStep> shorten(ToleranceSite site, int seed, List<LogStep> schedule) {
    List<LogStep> steps = new ArrayList<>(schedule);
    for (int size = steps.size() / 2; size > 0; size = size == 1 ? 0 : (size + 1) / 2) {
      for (int from = 0; from < steps.size(); ) {
        List<LogStep> shorter = new ArrayList<>(steps);
        shorter.subList(from, Math.min(steps.size(), from + size)).clear();
        if (ToleranceRun.failure(site, seed, shorter) == null) {
          from += size;
        } else {
          steps = shorter;
        }
      }
    }
    return steps;
  }

  private static List<LogStep> schedule(int seed) {
    SplittableRandom random = new SplittableRandom(seed);
    int length = 20 + random.nextInt(60);
    List<LogStep> steps = new ArrayList<>();
    for (int i = 0; i < length; i++) {
      Kind kind = KINDS[random.nextInt(KINDS.length)];
      steps.add(new LogStep(kind, random.nextInt(840), random.nextInt(840), random.nextInt(100)));
    }
    return steps;
  }

  private static Stream<Kind> weight(int weight, Kind kind) {
    return Stream.generate(() -> kind).limit(weight);
  }

  @SafeVarargs
  private static Kind[] kinds(Stream<Kind>... weighted) {
    return Stream.of(weighted).flatMap(kinds -> kinds).toArray(Kind[]::new);
  }
}
