package org.primrosegauge.node.keeper;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.primrosegauge.core.CustomerId;
import org.primrosegauge.core.JobId;
import org.primrosegauge.core.TargetId;
import org.primrosegauge.core.TaskId;
import org.primrosegauge.core.Term;
import org.primrosegauge.core.job.JobSpec;
import org.primrosegauge.core.job.Resources;
import org.primrosegauge.core.schedule.SchedulerAction;
import org.primrosegauge.core.site.Adjacency;

class HeldStartsTest {

  private static final JobSpec GANG =
      new JobSpec(
          new JobId("klang.plan"),
          new CustomerId("depot"),
          2,
          new Resources(1_000, 10, 1),
          Adjacency.DOMAIN,
          false,
          false,
          true,
          true,
          0,
          0,
          "run 10");

  private final HeldStarts held = new HeldStarts();
  private final List<SchedulerAction.Start> sent = new ArrayList<>();

  @Test
  void startsOfGangAreDroppedTogether() {
    held.add(start(1, 0), 0);
    held.add(start(1, 1), 1);
    held.release(HeldStarts.MOST_MILLIS, task -> true, sent::add);
    assertThat(sent).isEmpty();
  }

  @Test
  void startsOfGangAreSentTogetherOnceTheRecordIsHeld() {
    held.add(start(1, 0), 0);
    held.add(start(1, 1), 1);
    held.release(10, task -> false, sent::add);
    assertThat(sent).isEmpty();
    held.release(20, task -> true, sent::add);
    assertThat(sent).containsExactly(start(1, 0), start(1, 1)).inOrder();
  }

  @Test
  void nextAttemptHasItsOwnTime() {
    held.add(start(1, 0), 0);
    held.add(start(2, 0), 900);
    held.release(HeldStarts.MOST_MILLIS, task -> true, sent::add);
    assertThat(sent).containsExactly(start(2, 0));
  }

  private static SchedulerAction.Start start(int attempt, int index) {
    TaskId task = new TaskId(GANG.id(), attempt, index);
    return new SchedulerAction.Start(new TargetId("w000"), task, GANG, new Term(1));
  }
}
