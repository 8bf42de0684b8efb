package org.primrosegauge.standin;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.JobId;
import org.primrosegauge.core.RackId;
import org.primrosegauge.core.TargetId;
import org.primrosegauge.core.TaskId;
import org.primrosegauge.core.Term;
import org.primrosegauge.core.job.Resources;
import org.primrosegauge.wire.target.AnnouncementReply;
import org.primrosegauge.wire.target.TaskCommand;

class WorkerStandinTest {

  private static final Resources CAPACITY = new Resources(8_000, 16_000, 8);
  private static final TaskId TASK = new TaskId(new JobId("klang.plan"), 1, 0);

  private final List<String> events = new ArrayList<>();
  private final WorkerStandin worker =
      new WorkerStandin(
          new TargetId("w"),
          new FailureDomainId("klang"),
          new RackId("r"),
          CAPACITY,
          "http://127.0.0.1:1",
          event -> events.add(event.event()));

  private boolean command(TaskCommand.Action action, long term, long nowMillis) {
    TaskCommand command =
        new TaskCommand(action, new Term(term), CAPACITY, 1_000, "run 60000", "{}");
    return worker.execute(TASK, command, nowMillis).accepted();
  }

  @Test
  void refusesStartUnderStaleTermAndWithoutReservation() {
    assertThat(command(TaskCommand.Action.START, 2, 0)).isFalse();
    assertThat(command(TaskCommand.Action.RESERVE, 2, 0)).isTrue();
    assertThat(command(TaskCommand.Action.START, 1, 10)).isFalse();
    assertThat(command(TaskCommand.Action.START, 2, 20)).isTrue();
    assertThat(events).containsExactly("start");
  }

  @Test
  void reservationEndsByItself() {
    assertThat(command(TaskCommand.Action.RESERVE, 1, 0)).isTrue();
    assertThat(command(TaskCommand.Action.START, 1, 1_000)).isFalse();
  }

  @Test
  void stopsTasksWhenItsLeaseRunsOutCountedFromSending() {
    command(TaskCommand.Action.RESERVE, 1, 0);
    command(TaskCommand.Action.START, 1, 0);
    worker.acknowledged(new AnnouncementReply(5_000, null, null), 100, 1);
    worker.advance(5_099);
    assertThat(events).containsExactly("start");
    worker.advance(5_100);
    assertThat(events).containsExactly("start", "stopped").inOrder();
  }

  @Test
  void renewsWithoutTasksOnlyWhatTheKeeperHasAcknowledged() {
    long first = worker.announcement(0).version();
    assertThat(worker.unchangedVersion(0)).isEqualTo(OptionalLong.empty());
    worker.acknowledged(new AnnouncementReply(5_000, null, null), 0, first);
    assertThat(worker.unchangedVersion(1)).isEqualTo(OptionalLong.of(first));
    command(TaskCommand.Action.RESERVE, 1, 2);
    assertThat(worker.unchangedVersion(3)).isEqualTo(OptionalLong.empty());
    worker.acknowledged(new AnnouncementReply(5_000, null, null), 3, first);
    assertThat(worker.unchangedVersion(4)).isEqualTo(OptionalLong.empty());
    worker.acknowledged(
        new AnnouncementReply(5_000, null, null), 4, worker.announcement(4).version());
    worker.acknowledged(new AnnouncementReply(0, null, null), 5, 0);
    assertThat(worker.unchangedVersion(6)).isEqualTo(OptionalLong.empty());
  }
}
