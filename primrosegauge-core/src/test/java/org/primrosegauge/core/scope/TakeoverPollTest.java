package org.primrosegauge.core.scope;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.HostPort;
import org.primrosegauge.core.ServiceId;
import org.primrosegauge.core.TargetId;
import org.primrosegauge.core.Term;
import org.primrosegauge.core.job.Resources;
import org.primrosegauge.core.scope.cfg.ScopeSettings;

/** How a new leader meets the workers of a large site. */
class TakeoverPollTest {

  private static final int WORKERS = 246;

  /** Most new connections that are made at the same moment. */
  private static final int MAX_CONCURRENT_POLLS = 64;

  /** A quarter of the shortest lease: what runs is met long before its lease ends. */
  private static final long MAX_TAKEOVER_MILLIS = 1_500;

  private static final long TICK_MILLIS = 50;

  private final ScopeLedger ledger = new ScopeLedger(60_000);
  private final ScopeScheduler scheduler = new ScopeScheduler(ledger, ScopeSettings.DEFAULT);
  private long nowMillis = 10_000;

  @BeforeEach
  void registerWorkers() {
    for (int i = 0; i < WORKERS; i++) {
      WorkerInfo info =
          new WorkerInfo(
              new WorkerKey(new TargetId("w" + i), 1),
              new HostPort("10.0.0.1", 1 + i),
              new ServiceId("pool"),
              new FailureDomainId("d" + i % 4),
              new Resources(64_000, 256_000, 8),
              List.of("a"),
              "r" + i / 12);
      ledger.apply(new ScopeCommand.SeeWorker(info));
    }
  }

  private ClockReading now() {
    return new ClockReading(nowMillis, nowMillis);
  }

  private static List<ScopeAction.Poll> polls(List<ScopeAction> actions) {
    return actions.stream()
        .filter(ScopeAction.Poll.class::isInstance)
        .map(ScopeAction.Poll.class::cast)
        .toList();
  }

  private static List<WorkerKey> workersOf(List<ScopeAction.Poll> looks) {
    return looks.stream().map(ScopeAction.Poll::worker).toList();
  }

  /** Issue 16: each takeover looked at all workers in one go. */
  @Test
  void newLeaderDoesNotPollAllWorkersAtOnce() {
    scheduler.startLeading(new Term(1), now());
    Queue<ScopeAction.Poll> open = new ArrayDeque<>(polls(scheduler.plan(now())));
    Set<WorkerKey> met = new HashSet<>();
    while (!open.isEmpty()) {
      assertThat(open.size()).isAtMost(MAX_CONCURRENT_POLLS);
      ScopeAction.Poll look = open.remove();
      assertThat(met.add(look.worker())).isTrue();
      PollResult answer = new PollResult(PollResult.Kind.REPORT, nowMillis, List.of(), List.of());
      scheduler.handlePollResult(look, answer, now());
      open.addAll(polls(scheduler.pollWorkers(now())));
    }
    assertThat(met).hasSize(WORKERS);
  }

  /** Workers behind a cut, which answer nothing, must not keep the others unmet. */
  @Test
  void unresponsiveWorkersDelayOthersOnlyBriefly() {
    scheduler.startLeading(new Term(1), now());
    final long since = nowMillis;
    Set<WorkerKey> met = new HashSet<>(workersOf(polls(scheduler.plan(now()))));
    while (met.size() < WORKERS && nowMillis < since + MAX_TAKEOVER_MILLIS) {
      nowMillis += TICK_MILLIS;
      scheduler.tick(now());
      met.addAll(workersOf(polls(scheduler.pollWorkers(now()))));
    }
    assertThat(met).hasSize(WORKERS);
  }
}
