package org.primrosegauge.standin.scope;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import org.primrosegauge.core.JobId;
import org.primrosegauge.core.Term;
import org.primrosegauge.core.scope.ClockReading;
import org.primrosegauge.core.scope.ScopeAction;
import org.primrosegauge.core.scope.ScopeCommand;
import org.primrosegauge.core.scope.ScopeResult;
import org.primrosegauge.core.scope.ScopeScheduler;
import org.primrosegauge.core.scope.cfg.ScopeSettings;

/**
 * The leader of an emulated scope: the real scheduler on an emulated thread, with a log that
 * commits after a delay.
 *
 * <p>Several replicas take turns to lead. A proposal that is not committed when its leader is lost
 * is found by the next leader in its log, or never happens.
 *
 * <p>Not thread-safe; owned by one {@link EmulatedScope}.
 */
final class EmulatedLeader {

  private static final String TRACED = System.getProperty("scope.trace");
  private static final long COMMIT_MILLIS = 10;
  private static final int REPLICAS = 3;

  /** Interval of the tick of a thread whose events take time. */
  private static final long TICK_MILLIS = 50;

  private record Proposal(ScopeCommand command, long number) {}

  /** Something that the leader learns, as a call of its scheduler. */
  @FunctionalInterface
  interface Event {
    List<ScopeAction> handTo(ScopeScheduler leader, ClockReading present);
  }

  private final EmulatedScope scope;
  private final Random random;
  private final EventMeter cost;
  private final EmulatedThread thread;
  private final List<ScopeScheduler> replicas = new ArrayList<>();
  private final List<Proposal> proposals = new ArrayList<>();
  private final Map<JobId, Long> finished = new HashMap<>();
  private ScopeScheduler scheduler;
  private int epoch;
  private long term;
  private long proposed;
  private long nextPlanMillis;
  private int placements;

  EmulatedLeader(EmulatedScope scope, Random random, EventMeter cost, ScopeSettings settings) {
    this.scope = scope;
    this.random = random;
    this.cost = cost;
    this.thread =
        new EmulatedThread(
            cost,
            new EmulatedThread.Ports(
                this::examined,
                () -> decide(ScopeScheduler::plan),
                () -> decide(ScopeScheduler::pollWorkers),
                scope::at));
    for (int i = 0; i < REPLICAS; i++) {
      replicas.add(new ScopeScheduler(scope.ledger, settings));
    }
  }

  // Life-cycle

  /** Replaces the leader: what it had proposed may be lost, its orders on the way are not. */
  void change() {
    dismiss();
    settleProposals();
    epoch++;
    term++;
    scheduler = replicas.get((int) term % REPLICAS);
    scope.network.leaderChanged(epoch);
    thread.restart(scope.now);
    Term begun = new Term(term);
    tell(EventKind.OFFICE, (leader, present) -> leader.startLeading(begun, present));
  }

  /** Leaves the scope without a leader for a while. */
  void lose(long forMillis) {
    epoch++;
    dismiss();
    thread.restart(scope.now);
    scope.at(scope.now + forMillis, this::change);
  }

  private void dismiss() {
    if (scheduler != null) {
      scheduler.stopLeading();
    }
    scheduler = null;
  }

  /** A new leader finds some of what was proposed before in its log; the rest never happens. */
  private void settleProposals() {
    for (Proposal proposal : List.copyOf(proposals)) {
      if (random.nextBoolean()) {
        commit(proposal.command()).run();
      }
    }
    proposals.clear();
  }

  // Accessors

  boolean isPresent() {
    return scheduler != null;
  }

  /** Returns how many runs were placed so far. */
  int placements() {
    return placements;
  }

  /** Returns when a job ended, in milliseconds; empty while it goes on. */
  OptionalLong finishedMillis(JobId job) {
    Long at = finished.get(job);
    return at == null ? OptionalLong.empty() : OptionalLong.of(at);
  }

  /** Returns what was seen of the leader's thread so far. */
  ThreadFigures threadFigures() {
    return thread.figures(scope.now);
  }

  private ClockReading present() {
    return new ClockReading(scope.now, scope.now);
  }

  private long examined() {
    return scheduler == null ? 0 : scheduler.examined();
  }

  // Main API

  /** Hands an event to the leader on its thread. */
  void tell(EventKind kind, Event event) {
    thread.offer(kind, scope.now, () -> decide(event));
  }

  /** Hands an answer to the leader that has asked, if it still leads. */
  void tellIfLeading(EventKind kind, int sentIn, Event event) {
    if (sentIn == epoch && scheduler != null) {
      tell(kind, event);
    }
  }

  /** Asks the leader to have a command committed. */
  void ask(ScopeCommand command) {
    thread.offer(EventKind.QUESTION, scope.now, () -> () -> propose(command));
  }

  /** Has a command committed after a while, if the leader is not lost until then. */
  void propose(ScopeCommand command) {
    Proposal proposal = new Proposal(command, proposed++);
    proposals.add(proposal);
    scope.at(
        scope.now + COMMIT_MILLIS,
        () ->
            thread.offer(
                EventKind.COMMIT,
                scope.now,
                () -> proposals.remove(proposal) ? commit(command) : () -> {}));
  }

  /** Lets the leader's thread work until the present. */
  void advance() {
    boolean isDue = cost.isFree() || scope.now % TICK_MILLIS == 0;
    if (isDue && !thread.hasWaiting(EventKind.TICK)) {
      tell(EventKind.TICK, ScopeScheduler::tick);
    }
    thread.runUntil(scope.now);
  }

  /** Prints what names the text given by the property {@code scope.trace}. */
  void trace(String what, Object subject) {
    String text = TRACED == null ? "" : subject.toString();
    if (TRACED != null && text.contains(TRACED)) {
      System.out.println(scope.now + " epoch " + epoch + " " + what + " " + text);
    }
  }

  // Internals

  /** Lets the leader decide on an event; its actions follow once the event has been handled. */
  private Runnable decide(Event event) {
    if (scheduler == null) {
      return () -> {};
    }
    int decidedIn = epoch;
    List<ScopeAction> actions = event.handTo(scheduler, present());
    return () -> {
      if (decidedIn == epoch) {
        perform(actions);
      }
    };
  }

  /**
   * Carries out what an event asks for. Where events take no time, what planning finds follows,
   * unless a pass was just made; otherwise the thread plans.
   */
  private void perform(List<ScopeAction> actions) {
    carryOut(actions);
    if (!cost.isFree()) {
      return;
    }
    if (scope.now >= nextPlanMillis) {
      nextPlanMillis = scope.now + scope.planPauseMillis;
      carryOut(scheduler.plan(present()));
    } else {
      carryOut(scheduler.pollWorkers(present()));
    }
  }

  private void carryOut(List<ScopeAction> actions) {
    for (ScopeAction action : actions) {
      trace("action", action);
      if (action instanceof ScopeAction.Propose propose) {
        propose(propose.command());
      } else if (action instanceof ScopeAction.Start start) {
        scope.network.deliver(start, epoch);
      } else if (action instanceof ScopeAction.Stop stop) {
        scope.network.deliver(stop, epoch);
      } else if (action instanceof ScopeAction.Poll look) {
        scope.network.deliver(look, epoch);
      } else if (action instanceof ScopeAction.Probe probe) {
        scope.network.deliver(probe, epoch);
      }
    }
  }

  private Runnable commit(ScopeCommand command) {
    trace("commit", command);
    ScopeResult result = scope.ledger.apply(command);
    if (command instanceof ScopeCommand.Cancel cancel && result == ScopeResult.APPLIED) {
      scope.checker.cancelled(cancel.job());
    }
    scope.observer.committed(command, result);
    noteFinished(command);
    if (command instanceof ScopeCommand.Place place) {
      placements += place.placements().size();
    }
    replicas.stream()
        .filter(replica -> replica != scheduler)
        .forEach(replica -> replica.applied(command, present()));
    return decide((leader, present) -> leader.applied(command, present));
  }

  private void noteFinished(ScopeCommand command) {
    if (command instanceof ScopeCommand.RecordEnds ends) {
      ends.ends().forEach(end -> noteIfFinished(end.run().task().job()));
    } else if (command instanceof ScopeCommand.Cancel cancel) {
      noteIfFinished(cancel.job());
    }
  }

  private void noteIfFinished(JobId id) {
    if (scope.ledger.job(id).map(entry -> entry.status().isFinal()).orElse(false)) {
      finished.putIfAbsent(id, scope.now);
    }
  }
}
