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
class TakeoverLooksTest {

  private static final int WORKERS = 246;

  /** Most new connections that are made at the same moment. */
  private static final int MOST_AT_ONCE = 64;

  /** A quarter of the shortest lease: what runs is met long before its lease ends. */
  private static final long MOST_MILLIS = 1_500;

  private static final long TICK_MILLIS = 50;

  private final ScopeLedger ledger = new ScopeLedger(60_000);
  private final ScopeScheduler scheduler = new ScopeScheduler(ledger, ScopeSettings.DEFAULT);
  private long now = 10_000;

  @BeforeEach
  void seeWorkers() {
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

  private Present present() {
    return new Present(now, now);
  }

  private static List<ScopeAction.Look> looks(List<ScopeAction> actions) {
    return actions.stream()
        .filter(ScopeAction.Look.class::isInstance)
        .map(ScopeAction.Look.class::cast)
        .toList();
  }

  private static List<WorkerKey> workersOf(List<ScopeAction.Look> looks) {
    return looks.stream().map(ScopeAction.Look::worker).toList();
  }

  /** Issue 16: each takeover looked at all workers in one go. */
  @Test
  void newLeaderDoesNotLookAtAllWorkersAtOnce() {
    scheduler.takeOffice(new Term(1), present());
    Queue<ScopeAction.Look> open = new ArrayDeque<>(looks(scheduler.plan(present())));
    Set<WorkerKey> met = new HashSet<>();
    while (!open.isEmpty()) {
      assertThat(open.size()).isAtMost(MOST_AT_ONCE);
      ScopeAction.Look look = open.remove();
      assertThat(met.add(look.worker())).isTrue();
      LookAnswer answer = new LookAnswer(LookAnswer.Kind.REPORT, now, List.of(), List.of());
      scheduler.lookAnswered(look, answer, present());
      open.addAll(looks(scheduler.look(present())));
    }
    assertThat(met).hasSize(WORKERS);
  }

  /** Workers behind a cut, which answer nothing, must not keep the others unmet. */
  @Test
  void workersThatDoNotAnswerDelayTheOthersOnlyShortly() {
    scheduler.takeOffice(new Term(1), present());
    final long since = now;
    Set<WorkerKey> met = new HashSet<>(workersOf(looks(scheduler.plan(present()))));
    while (met.size() < WORKERS && now < since + MOST_MILLIS) {
      now += TICK_MILLIS;
      scheduler.tick(present());
      met.addAll(workersOf(looks(scheduler.look(present()))));
    }
    assertThat(met).hasSize(WORKERS);
  }
}
