package org.primrosegauge.core.keeper;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.keeper.KeeperExplorer.Result;
import org.primrosegauge.core.keeper.KeeperWorld.Setup;
import org.primrosegauge.core.keeper.cfg.KeeperSettings;

/**
 * Explores the real {@link KeeperLease} and {@link KeeperOffices} exhaustively. One step of true
 * time is 10 ms; clocks run 10% slow or fast; a lease lasts two steps. The system property {@code
 * keeper.model.states} sets the largest number of states; with 2,000,000 every case is complete,
 * with the default those of one instance set are.
 */
class KeeperModelTest {

  private static final KeeperSettings SETTINGS = new KeeperSettings(20, 10, 100_000);
  private static final KeeperRules ALL = KeeperRules.ALL;
  private static final int LIMIT = Integer.getInteger("keeper.model.states", 500_000);

  /** A rule left out, and the smallest bounds within which that shows. */
  enum Break {
    NO_WAIT_AFTER_RESTART(new KeeperRules(false, false, true, true, true, true), "abc", "abc", 1),
    COUNTED_FROM_GRANT(new KeeperRules(true, false, false, true, true, true), "abc", "abc", 0),
    DRIFT_IGNORED(ALL, "abc", "abc", 0),
    SET_NOT_ACKNOWLEDGED(new KeeperRules(true, false, true, false, true, true), "ab", "abc", 0),
    PROMISE_NOT_KEPT(new KeeperRules(true, false, true, true, false, true), "abc", "abc", 0);

    final KeeperRules rules;
    final String before;
    final String after;
    final int restarts;

    Break(KeeperRules rules, String before, String after, int restarts) {
      this.rules = rules;
      this.before = before;
      this.after = after;
      this.restarts = restarts;
    }

    KeeperSettings settings() {
      return this == DRIFT_IGNORED ? SETTINGS.withDriftPpm(0) : SETTINGS;
    }
  }

  @ParameterizedTest
  @CsvSource({"abc,abc,1,2,true", "abc,abc,1,2,false", "ab,abc,0,2,false", "abc,ab,0,2,false"})
  void neverTwoKeepers(
      String before, String after, int restarts, int maxTerm, boolean grantWhileRecovering) {
    KeeperRules rules = new KeeperRules(true, grantWhileRecovering, true, true, true, true);
    Setup setup = setup(rules, SETTINGS, before, after, restarts, maxTerm);
    Result result = explore(setup, KeeperModelTest::atMostOne);
    report(before + "->" + after + " restarts " + restarts + " " + rules, result);
    assertThat(result.violation().isPresent()).isFalse();
    boolean required = before.equals(after) || LIMIT >= 2_000_000;
    assertWithMessage("complete").that(result.complete() || !required).isTrue();
  }

  @ParameterizedTest
  @EnumSource(Break.class)
  void brokenRuleIsCaught(Break broken) {
    Setup setup =
        setup(broken.rules, broken.settings(), broken.before, broken.after, broken.restarts, 2);
    Result result = explore(setup, KeeperModelTest::atMostOne);
    report(broken.name(), result);
    assertThat(result.violation().isPresent()).isTrue();
  }

  private static boolean atMostOne(KeeperWorld world) {
    return world.startersCount() <= 1;
  }

  private static Result explore(Setup setup, java.util.function.Predicate<KeeperWorld> good) {
    return new KeeperExplorer(good, LIMIT).explore(new KeeperWorld(setup));
  }

  private static Setup setup(
      KeeperRules rules,
      KeeperSettings settings,
      String before,
      String after,
      int restarts,
      int maxTerm) {
    List<Integer> rates = List.of(9, 11, 11);
    return new Setup(settings, rules, rates, 11, ids(before), ids(after), restarts, maxTerm, true);
  }

  private static List<InstanceId> ids(String letters) {
    return letters.chars().mapToObj(c -> new InstanceId(String.valueOf((char) c))).toList();
  }

  private static void report(String name, Result result) {
    System.out.printf(
        "keeper model %s: %d states, %d transitions, complete %s, violation %s%n",
        name,
        result.states(),
        result.transitions(),
        result.complete(),
        result.violation().isPresent());
  }
}
