package org.primrosegauge.standin.scope;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.primrosegauge.core.JobId;
import org.primrosegauge.core.job.Resources;
import org.primrosegauge.core.scope.JobStatus;
import org.primrosegauge.core.scope.RunOutcome;
import org.primrosegauge.core.scope.StepSpec;

/** Replays the loads that decisions under load answer, each with a fixed seed. */
class ScopeLoadTest {

  private static final Resources ONE = new Resources(4_000, 10_000, 1);
  private static final Resources WHOLE_WORKER = new Resources(4_000, 10_000, 8);
  private static final JobId URGENT = new JobId("urgent");
  private static final JobId WIDE = new JobId("wide");

  private static StepSpec.Builder step(int count, Resources task, long estimatedMillis) {
    return StepSpec.builder(count).task(task).estimatedMillis(estimatedMillis);
  }

  /** A fleet full of small tasks: an urgent gang gets room on one rack, not scattered. */
  @Test
  void urgentGangStartsOnOneRackOfFullFleet() {
    EmulatedScope world = new EmulatedScope(21, 9, true);
    world.run(2_000);
    world.submit("filler", 2, "second", List.of(step(72, ONE, 9_000).build()), 9_000);
    world.run(3_000);
    StepSpec gang = step(2, WHOLE_WORKER, 1_000).gang(true).rackLocal(true).build();
    world.submit("urgent", 0, "first", List.of(gang), 1_000);
    world.run(2_900);
    assertThat(world.checker.racks.get(URGENT)).hasSize(1);
    assertThat(world.checker.violations).isEmpty();
  }

  /** Urgent work that has just begun has the least to lose, and yet gives way last. */
  @Test
  void urgentWorkDoesNotStopUrgentWorkWhileOtherWorkRuns() {
    EmulatedScope world = new EmulatedScope(22, 4, true);
    world.run(2_000);
    StepSpec whole = step(1, WHOLE_WORKER, 8_000).build();
    world.submit("old", 2, "second", List.of(whole), 8_000);
    world.run(3_000);
    world.submit("loan", 0, "second", List.of(step(3, WHOLE_WORKER, 8_000).build()), 8_000);
    world.run(300);
    world.submit("urgent", 0, "first", List.of(step(1, WHOLE_WORKER, 500).build()), 500);
    world.run(2_900);
    assertThat(world.checker.firstBegin).containsKey(URGENT);
    assertThat(world.checker.counts.get(RunOutcome.STOPPED)).isEqualTo(1);
    assertThat(world.statusOf("old")).isNotEqualTo(JobStatus.COMPLETED);
  }

  /** Small tasks arrive without end and would take each slot that comes free. */
  @Test
  void wideGangStartsBesideAnEndlessStreamOfSmallTasks() {
    EmulatedScope world = new EmulatedScope(23, 4, true);
    world.run(2_000);
    for (int i = 0; i < 60; i++) {
      int number = i;
      world.at(
          world.now + i * 500L,
          () ->
              world.submit(
                  "small" + number, 2, "second", List.of(step(16, ONE, 2_000).build()), 2_000));
    }
    world.run(5_000);
    final long asked = world.now;
    StepSpec gang = step(4, WHOLE_WORKER, 1_000).gang(true).build();
    world.submit("wide", 1, "first", List.of(gang), 1_000);
    world.run(6_000);
    assertThat(world.checker.firstBegin).containsKey(WIDE);
    assertThat(world.checker.firstBegin.get(WIDE)).isLessThan(asked + 6_000);
    assertThat(world.checker.violations).isEmpty();
  }

  /** Gangs of priority 1 that stopped others threw away a tenth of the fleet's work. */
  @Test
  void workThatIsNotUrgentStopsNobody() {
    EmulatedScope world = new EmulatedScope(24, 4, true);
    world.run(2_000);
    world.submit("filler", 2, "second", List.of(step(32, ONE, 3_000).build()), 3_000);
    world.run(1_000);
    StepSpec gang = step(2, WHOLE_WORKER, 1_000).gang(true).build();
    world.submit("wide", 1, "first", List.of(gang), 1_000);
    world.run(8_000);
    assertThat(world.statusOf("wide")).isEqualTo(JobStatus.COMPLETED);
    assertThat(world.checker.counts).containsExactly(RunOutcome.DONE, 34);
  }

  /** Urgent work beyond its guarantee does not destroy many times its own work. */
  @Test
  void urgentWorkBeyondItsGuaranteeWaitsWhereOthersWouldLoseTooMuch() {
    EmulatedScope world = new EmulatedScope(25, 4, true);
    world.run(2_000);
    StepSpec long4 = step(4, WHOLE_WORKER, 20_000).gang(true).build();
    world.submit("long", 1, "first", List.of(long4), 20_000);
    world.run(15_000);
    world.submit("urgent", 0, "second", List.of(step(2, WHOLE_WORKER, 300).build()), 300);
    world.run(2_000);
    assertThat(world.checker.firstBegin).doesNotContainKey(URGENT);
    world.run(8_000);
    assertThat(world.statusOf("long")).isEqualTo(JobStatus.COMPLETED);
    assertThat(world.statusOf("urgent")).isEqualTo(JobStatus.COMPLETED);
  }

  /** A task that saves its progress does so when it is stopped, so nothing of it is lost. */
  @Test
  void runsThatSaveTheirProgressGiveWayToUrgentWork() {
    EmulatedScope world = new EmulatedScope(26, 2, true);
    world.run(2_000);
    StepSpec saving = step(1, WHOLE_WORKER, 8_000).checkpoints(true).build();
    world.submit("saving", 2, "second", List.of(saving), 8_000);
    world.run(1_700);
    world.submit("other", 2, "second", List.of(step(1, WHOLE_WORKER, 8_000).build()), 8_000);
    world.run(150);
    world.submit("urgent", 0, "first", List.of(step(1, WHOLE_WORKER, 500).build()), 500);
    world.run(2_000);
    assertThat(world.checker.firstBegin).containsKey(URGENT);
    assertThat(world.meter.stops()).isEqualTo(1);
    assertThat(world.meter.lostCoreSeconds()).isEqualTo(0.0);
  }

  /** Urgent jobs come again and again on a fleet that small tasks would fill at once. */
  @Test
  void urgentJobsFindRoomBesideAnEndlessStreamOfSmallTasks() {
    EmulatedScope world = new EmulatedScope(27, 8, true);
    world.run(2_000);
    for (int i = 0; i < 40; i++) {
      int number = i;
      world.at(
          world.now + i * 1_000L,
          () -> {
            StepSpec small = step(17, ONE, 3_000).build();
            world.submit("small" + number, 2, "second", List.of(small), 3_000);
            StepSpec urgent = step(1, WHOLE_WORKER, 900).build();
            world.submit("urgent" + number, 0, "first", List.of(urgent), 900);
          });
    }
    world.run(50_000);
    // Fewer than one run for each urgent job, of which each would stop eight.
    assertThat(world.meter.stops()).isLessThan(40);
    assertThat(world.statusOf("small39")).isEqualTo(JobStatus.COMPLETED);
    assertThat(world.checker.violations).isEmpty();
  }

  /** A wide urgent step that no fleet can hold was taken as proof that no task finds room. */
  @Test
  void urgentTaskGetsRoomBehindStepThatIsTooWideForTheFleet() {
    EmulatedScope world = new EmulatedScope(41, 4, true);
    world.run(2_000);
    world.submit("filler", 2, "second", List.of(step(32, ONE, 9_000).build()), 9_000);
    world.run(1_000);
    StepSpec wide = step(5, WHOLE_WORKER, 1_000).gang(true).build();
    world.submit("wide", 0, null, List.of(wide), 1_000);
    world.run(300);
    world.submit("urgent", 0, null, List.of(step(1, WHOLE_WORKER, 4_000).build()), 4_000);
    world.run(2_900);
    assertThat(world.checker.firstBegin).containsKey(URGENT);
    assertThat(world.checker.violations).isEmpty();
  }

  /** A step at its own limit a worker was taken as proof that no other step finds room. */
  @Test
  void urgentTasksGetRoomBesideStepThatIsAtItsLimitOnEachWorker() {
    EmulatedScope world = new EmulatedScope(42, 4, true);
    world.run(2_000);
    StepSpec limited = step(8, ONE, 2_000).maxPerWorker(1).build();
    world.submit("limited", 0, null, List.of(limited), 9_000);
    world.run(1_000);
    world.submit("filler", 2, "second", List.of(step(28, ONE, 9_000).build()), 9_000);
    world.run(1_000);
    StepSpec other = step(4, ONE, 6_000).maxPerWorker(1).build();
    world.submit("urgent", 0, null, List.of(other), 6_000);
    world.run(2_900);
    assertThat(world.checker.firstBegin).containsKey(URGENT);
    assertThat(world.checker.violations).isEmpty();
  }
}
