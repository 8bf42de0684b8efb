package org.primrosegauge.core.schedule.impl;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.primrosegauge.core.CustomerId;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.JobId;
import org.primrosegauge.core.RackId;
import org.primrosegauge.core.TargetId;
import org.primrosegauge.core.TaskId;
import org.primrosegauge.core.job.JobSpec;
import org.primrosegauge.core.job.Resources;
import org.primrosegauge.core.schedule.cfg.SchedulerSettings;
import org.primrosegauge.core.schedule.cfg.SchedulingPolicy;
import org.primrosegauge.core.site.Adjacency;
import org.primrosegauge.core.site.BlockShape;
import org.primrosegauge.core.site.Guarantee;
import org.primrosegauge.core.site.SiteConfiguration;

/** Placement beside guarantees against an exhaustive version: equal feasibility. */
class FirmPlacerTest {

  private static final FailureDomainId DOMAIN = new FailureDomainId("klang");
  private static final int WHOLE = 4;

  @Property(seed = "4103", tries = 2_000)
  void findsPlacementExactlyWhenOneExists(
      @ForAll @Size(min = 1, max = 4) List<@IntRange(min = 0, max = WHOLE) Integer> taken,
      @ForAll @IntRange(min = 1, max = 2) int perRack,
      @ForAll @IntRange(min = 1, max = 3) int blocks,
      @ForAll @IntRange(min = 1, max = 8) int blockSize,
      @ForAll Adjacency adjacency,
      @ForAll @IntRange(min = 1, max = 4) int tasks,
      @ForAll @IntRange(min = 1, max = 3) int each) {
    BlockShape shape =
        new BlockShape(
            blocks, adjacency == Adjacency.WORKER ? 1 + blockSize % WHOLE : blockSize, adjacency);
    DomainState state = state(taken, perRack, shape);
    List<Block> carried = state.ledger.carried();
    FirmPlacer placer = new FirmPlacer(state, state.ledger, new Placer(state.fleet));
    Gang gang = gang(tasks, each);

    boolean found =
        placer.place(gang, worker -> worker.slots(gang.demand, Resources.NONE)).isPresent();

    int[] room = taken.stream().mapToInt(used -> WHOLE - used).toArray();
    int[] rackOf = new int[room.length];
    for (int i = 0; i < rackOf.length; i++) {
      rackOf[i] = i / perRack;
    }
    assertThat(found).isEqualTo(exists(room, rackOf, carried, tasks, each, 0));
  }

  private static boolean exists(
      int[] room, int[] rackOf, List<Block> blocks, int tasks, int each, int from) {
    if (tasks == 0) {
      return ShapePackerTest.isPackable(
          room.clone(), rackOf, ShapePackerTest.pieces(blocks), 0, new int[blocks.size()]);
    }
    for (int i = from; i < room.length; i++) {
      if (room[i] >= each) {
        room[i] -= each;
        boolean exists = exists(room, rackOf, blocks, tasks - 1, each, i);
        room[i] += each;
        if (exists) {
          return true;
        }
      }
    }
    return false;
  }

  private static DomainState state(List<Integer> taken, int perRack, BlockShape shape) {
    DomainState state =
        new DomainState(DOMAIN, SchedulerSettings.DEFAULTS, SchedulingPolicy.DEFAULT);
    for (int i = 0; i < taken.size(); i++) {
      Worker worker =
          new Worker(
              new TargetId("w" + i),
              new RackId("r" + i / perRack),
              new Resources(WHOLE * 1_000L, WHOLE * 1_000L, WHOLE));
      Resources used = demand(taken.get(i));
      worker.hold(new TaskId(new JobId("old" + i), 1, 0), used);
      state.fleet.add(worker);
      state.ledger.addFirm(List.of(worker), used);
    }
    Guarantee guarantee = new Guarantee(new CustomerId("hotel"), DOMAIN, shape);
    state.configuration =
        new SiteConfiguration(
            List.of(), List.of(), new ArrayList<>(), List.of(guarantee), List.of());
    state.ledger.configure();
    state.ledger.refresh();
    return state;
  }

  private static Resources demand(int accelerators) {
    return new Resources(accelerators * 1_000L, accelerators * 1_000L, accelerators);
  }

  private static Gang gang(int tasks, int each) {
    JobSpec job =
        new JobSpec(
            new JobId("firm"),
            new CustomerId("other"),
            tasks,
            demand(each),
            Adjacency.DOMAIN,
            false,
            false,
            false,
            true,
            0,
            0,
            "run");
    return new Gang(job, 0, 0);
  }
}
