package org.primrosegauge.node.daemon;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.primrosegauge.core.TaskId;
import org.primrosegauge.core.Term;
import org.primrosegauge.standin.WorkerStandin.TaskEvent;
import org.primrosegauge.wire.target.TaskCommand;

/**
 * A keeper that ends between two starts of a gang, with whole instances on the loopback. The time
 * limit only ends a hang.
 */
@Timeout(120)
class KeeperHandoverTest {

  private static final String JOB = "klang.handover";
  private static final int TASKS = 3;
  private static final int LONGER_THAN_THE_REBUILD_MILLIS = 20_000;

  private final List<TaskEvent> events = new CopyOnWriteArrayList<>();
  private final AtomicReference<TaskId> firstStarted = new AtomicReference<>();
  private final AtomicReference<Term> firstTerm = new AtomicReference<>();
  private LoopbackSite site;

  @BeforeEach
  void start() throws Exception {
    site = new LoopbackSite();
  }

  @AfterEach
  void stop() throws Exception {
    site.close();
  }

  /** One start of the gang reaches its worker; the keeper ends before any other does. */
  @Test
  void newKeeperCompletesTheStartsOfGang() throws Exception {
    site.attachWorker("w1", events::add).filter(this::onlyTheFirstStartOfTheFirstTerm);
    LoopbackSite.until(
        () -> site.submit(JOB, TASKS, LONGER_THAN_THE_REBUILD_MILLIS).statusCode() == 202);
    LoopbackSite.until(() -> started().size() == 1);
    int keeper = site.keeperOf("klang");

    site.halt(keeper);

    LoopbackSite.until(() -> started().size() == TASKS || !ended().isEmpty());
    assertThat(ended()).isEmpty();
    List<TaskId> starts = started();
    assertThat(new HashSet<>(starts)).hasSize(TASKS);
    assertThat(attempts(starts)).containsExactly(1);
    assertThat(events.get(TASKS - 1).term().isAfter(firstTerm.get())).isTrue();
  }

  private boolean onlyTheFirstStartOfTheFirstTerm(TaskId task, TaskCommand command) {
    if (command.action() != TaskCommand.Action.START) {
      return true;
    }
    firstTerm.compareAndSet(null, command.term());
    if (command.term().isAfter(firstTerm.get())) {
      return true;
    }
    return firstStarted.compareAndSet(null, task) || firstStarted.get().equals(task);
  }

  private List<TaskId> started() {
    return of("start");
  }

  private List<TaskId> ended() {
    List<TaskId> ended = new ArrayList<>();
    events.stream().filter(e -> !e.event().equals("start")).forEach(e -> ended.add(e.task()));
    return ended;
  }

  private List<TaskId> of(String event) {
    return events.stream().filter(e -> e.event().equals(event)).map(TaskEvent::task).toList();
  }

  private static Set<Integer> attempts(List<TaskId> tasks) {
    Set<Integer> attempts = new HashSet<>();
    tasks.forEach(task -> attempts.add(task.attempt()));
    return attempts;
  }
}
