package org.primrosegauge.standin.scope;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Plays the load of 246 workers against the targets, with a leader whose events take time. */
class ScopeGrownLoadTest {

  private static final int WORKERS = 246;
  private static final long LOAD_MILLIS = 34_000;
  private static final long PLAY_MILLIS = 44_000;

  /** Heartbeats go unanswered for longer than workers wait, and the leader's lease is at risk. */
  private static final long LONGEST_WAIT_MILLIS = 1_000;

  private static final long LONGEST_HOLE_MILLIS = 3_000;
  private static final int BEGUN_PERCENT = 95;

  /** The event loops take the rest of the leader's core. */
  private static final EventCost HALF_CORE = new EventCost(60_000, 180, 0.5);

  private static LoadedScope scope(long seed) {
    return new LoadedScope(seed, WORKERS, LOAD_MILLIS, EventCost.OF_LEADER);
  }

  private static LoadedScope busyScope(long seed) {
    return new LoadedScope(seed, WORKERS, 2, LOAD_MILLIS, HALF_CORE);
  }

  /** Deciding that costs what exists saturates the leader's thread on a day without trouble. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void burstsOnCalmDayLeaveLeaderResponsive(long seed) {
    LoadedOutcome outcome = scope(seed).play(PLAY_MILLIS);
    check(seed, outcome, missed(outcome, true));
  }

  /** A leader that begins in the midst of a burst has to look at all that the last one left. */
  @ParameterizedTest
  @ValueSource(longs = {4, 5})
  void takeoverInBurstLeavesNewLeaderResponsive(long seed) {
    LoadedScope scope = scope(seed);
    scope.trouble(10_000, 2_000, world -> world.loseLeader(2_000));
    LoadedOutcome outcome = scope.play(PLAY_MILLIS);
    check(seed, outcome, missed(outcome, false));
  }

  /** A cut of a sixth of the workers for less than a lease ends none of their runs. */
  @ParameterizedTest
  @ValueSource(longs = {6, 7})
  void workersCutOffInBurstLeaveLeaderResponsive(long seed) {
    LoadedScope scope = scope(seed);
    scope.trouble(10_000, 5_500, ScopeGrownLoadTest::cutSixth);
    LoadedOutcome outcome = scope.play(PLAY_MILLIS);
    check(seed, outcome, missed(outcome, false));
  }

  /** A job that waited for its data rack for as long as it was estimated to run counted as lost. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 6})
  void jobsThatFitTwiceStartOnMostlyFreeFleet(long seed) {
    LoadedScope scope = new LoadedScope(seed, WORKERS, LOAD_MILLIS, EventCost.NONE);
    LoadedOutcome outcome = scope.play(PLAY_MILLIS);
    check(seed, outcome, missed(outcome, true));
  }

  /** A backlog must not cost the leader, who shares its core, its heartbeats and its leases. */
  @ParameterizedTest
  @ValueSource(longs = {8, 9})
  void twiceTheTrafficLeavesLeaderOnHalfCoreResponsive(long seed) {
    LoadedOutcome outcome = busyScope(seed).play(PLAY_MILLIS);
    check(seed, outcome, missed(outcome, true));
  }

  /** A new leader that finds a backlog must not fall behind for good. */
  @ParameterizedTest
  @ValueSource(longs = {10, 11})
  void takeoverUnderTwiceTheTrafficLeavesNewLeaderResponsive(long seed) {
    LoadedScope scope = busyScope(seed);
    scope.trouble(12_000, 2_000, world -> world.loseLeader(2_000));
    LoadedOutcome outcome = scope.play(PLAY_MILLIS);
    check(seed, outcome, missed(outcome, false));
  }

  private static void cutSixth(EmulatedScope world) {
    for (int worker = 0; worker < WORKERS; worker += 6) {
      world.cut("w" + worker, 5_500);
    }
  }

  private static void check(long seed, LoadedOutcome outcome, List<String> missed) {
    System.out.println("seed " + seed + ": " + outcome);
    assertWithMessage("seed %s: %s", seed, outcome).that(missed).isEmpty();
  }

  private static List<String> missed(LoadedOutcome outcome, boolean isCalm) {
    List<String> missed = new ArrayList<>(outcome.violations());
    if (outcome.thread().longestWaitMillis() > LONGEST_WAIT_MILLIS) {
      missed.add("an event waited " + outcome.thread().longestWaitMillis() + " ms");
    }
    if (!outcome.thread().late().isEmpty()) {
      missed.add("answers and heartbeats waited too long: " + outcome.thread().late());
    }
    if (outcome.lapsedRuns() > 0) {
      missed.add(outcome.lapsedRuns() + " runs lost their lease");
    }
    if (isCalm && outcome.lostHeartbeats() > 0) {
      missed.add(outcome.lostHeartbeats() + " heartbeats were lost");
    }
    if (outcome.longestHoleMillis() > LONGEST_HOLE_MILLIS) {
      missed.add("a job with room waited " + outcome.longestHoleMillis() + " ms");
    }
    if (100 * outcome.begunInTime() < BEGUN_PERCENT * outcome.promised()) {
      missed.add("of " + outcome.promised() + " urgent jobs " + outcome.begunInTime() + " in time");
    }
    return missed;
  }
}
