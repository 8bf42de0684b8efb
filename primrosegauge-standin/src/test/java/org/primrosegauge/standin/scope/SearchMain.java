package org.primrosegauge.standin.scope;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

/** Plays the sequences of many seeds, and prints the shortest form of those that break a rule. */
final class SearchMain {

  private static final int MAX_PRINTED = 4;

  private SearchMain() {}

  /**
   * Plays sequences.
   *
   * @param arguments first and last seed; the rules to judge, separated by commas, or "all"; "calm"
   *     for sequences without disturbances, or "any"; the number of broken sequences after which it
   *     ends
   */
  public static void main(String[] arguments) {
    long first = Long.parseLong(arguments[0]);
    long last = Long.parseLong(arguments[1]);
    Set<SearchRule> rules = rules(arguments[2]);
    List<SearchKind> kinds =
        arguments[3].equals("calm") ? SearchKind.UNDISTURBED : List.of(SearchKind.values());
    int most = Integer.parseInt(arguments[4]);
    int broken = 0;
    long begunNanos = System.nanoTime();
    long seed = first;
    for (; seed <= last && broken < most; seed++) {
      if (isBroken(seed, SearchPlan.draw(seed, kinds), rules)) {
        broken++;
        print(seed, SearchPlan.draw(seed, kinds), rules, begunNanos);
      }
    }
    System.out.printf(
        "search: seeds %d to %d, %d broken, %d s%n",
        first, seed - 1, broken, (System.nanoTime() - begunNanos) / 1_000_000_000);
    System.exit(broken == 0 ? 0 : 1);
  }

  private static Set<SearchRule> rules(String names) {
    if (names.equals("all")) {
      return EnumSet.allOf(SearchRule.class);
    }
    Set<SearchRule> rules = EnumSet.noneOf(SearchRule.class);
    for (String name : names.split(",")) {
      rules.add(SearchRule.valueOf(name));
    }
    return rules;
  }

  private static boolean isBroken(long seed, List<SearchEvent> events, Set<SearchRule> rules) {
    return !SearchPlay.play(seed, events, rules).isEmpty();
  }

  private static void print(
      long seed, List<SearchEvent> events, Set<SearchRule> rules, long begunNanos) {
    long seconds = (System.nanoTime() - begunNanos) / 1_000_000_000;
    System.out.printf("seed %d, %d events, found after %d s%n", seed, events.size(), seconds);
    List<SearchJudge.Violation> found = SearchPlay.play(seed, events, rules);
    found.stream().limit(MAX_PRINTED).forEach(each -> System.out.println("  " + each));
    Set<SearchRule> broken = EnumSet.of(found.get(0).rule());
    Predicate<List<SearchEvent>> isBroken = candidate -> isBroken(seed, candidate, broken);
    List<SearchEvent> shortest = SearchPlan.shorten(new ArrayList<>(events), isBroken);
    System.out.printf("  shortened to %d events:%n  world %d%n", shortest.size(), seed);
    shortest.forEach(event -> System.out.println("  " + event));
    SearchPlay.play(seed, shortest, broken).stream()
        .limit(MAX_PRINTED)
        .forEach(each -> System.out.println("  breaks " + each));
  }
}
