package org.primrosegauge.core.keeper;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;

/** Breadth-first exploration of every state of a {@link KeeperWorld}. */
final class KeeperExplorer {

  /** Outcome: states seen, transitions taken, whether all were seen, and the first bad state. */
  record Result(int states, long transitions, boolean complete, Optional<KeeperWorld> violation) {}

  private final Predicate<KeeperWorld> good;
  private final int limit;
  private final LongSet seen = new LongSet();
  private final Deque<KeeperWorld> frontier = new ArrayDeque<>();
  private long transitions;
  private KeeperWorld violation;

  KeeperExplorer(Predicate<KeeperWorld> good, int limit) {
    this.good = good;
    this.limit = limit;
  }

  Result explore(KeeperWorld first) {
    visit(first);
    while (!frontier.isEmpty() && violation == null && seen.size() < limit) {
      expand(frontier.poll());
    }
    return new Result(seen.size(), transitions, frontier.isEmpty(), Optional.ofNullable(violation));
  }

  private void expand(KeeperWorld world) {
    step(world, KeeperWorld::advance);
    if (world.changeLeft) {
      step(world, KeeperWorld::change);
    }
    for (int slot = 0; slot < world.messages.length; slot++) {
      if (world.messages[slot] != null) {
        int chosen = slot;
        step(world, next -> next.deliver(chosen));
      }
    }
    for (int i = 0; i < KeeperWorld.SIZE; i++) {
      expand(world, i);
    }
  }

  private void expand(KeeperWorld world, int i) {
    step(world, next -> next.tick(i, true));
    if (world.setup.direct()) {
      step(world, next -> next.tick(i, false));
    }
    if (world.proposals[i] != null) {
      step(world, next -> next.commit(i));
    }
    if (world.replies[i] != null) {
      step(world, next -> next.reply(i));
    }
    if (world.acknowledgements[i] != null) {
      step(world, next -> next.acknowledge(i));
    }
    if (world.hasNews(i)) {
      step(world, next -> next.observe(i));
    }
    if (world.restartsLeft > 0) {
      step(world, next -> next.restart(i));
    }
  }

  private void step(KeeperWorld world, Consumer<KeeperWorld> transition) {
    KeeperWorld next = world.copy();
    transition.accept(next);
    next.prune();
    transitions++;
    visit(next);
  }

  private void visit(KeeperWorld world) {
    if (seen.add(world.fingerprint())) {
      frontier.add(world);
      if (violation == null && !good.test(world)) {
        violation = world;
      }
    }
  }
}
