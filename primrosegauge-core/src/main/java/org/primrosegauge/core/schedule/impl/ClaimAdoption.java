package org.primrosegauge.core.schedule.impl;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.primrosegauge.core.site.Guarantee;

/**
 * Books a gang that a new keeper found running: inside its customer's guarantee where blocks of one
 * worker cover it in place, else as a borrower or as firm work.
 *
 * <p>Not thread-safe; owned by one scheduler.
 */
final class ClaimAdoption {

  private final DomainState state;

  ClaimAdoption(DomainState state) {
    this.state = state;
  }

  void adopt(Gang gang) {
    for (Guarantee guarantee : state.ledger.guaranteesOf(gang.spec.customer())) {
      if (claimInPlace(gang, guarantee)) {
        return;
      }
    }
    if (!gang.spec.preemptible()) {
      gang.firmWorkers = new ArrayList<>();
      for (GangTask task : gang.tasks) {
        if (task.worker != null && task.state != GangTask.State.ENDED) {
          gang.firmWorkers.add(task.worker);
        }
      }
      gang.firmEach = gang.demand;
      state.ledger.addFirm(gang.firmWorkers, gang.demand);
    }
  }

  private boolean claimInPlace(Gang gang, Guarantee guarantee) {
    Block block = GuaranteeLedger.blockOf(guarantee.shape());
    int[] pieces = block.pieces(FleetRooms.of(state.fleet).whole());
    Map<Worker, Integer> tasks = new LinkedHashMap<>();
    for (GangTask task : gang.tasks) {
      if (task.state != GangTask.State.ENDED) {
        tasks.merge(task.worker, 1, Integer::sum);
      }
    }
    List<PinnedBlock> blocks = new ArrayList<>();
    boolean covered = pieces.length == 1;
    for (Map.Entry<Worker, Integer> entry : tasks.entrySet()) {
      Worker worker = entry.getKey();
      int perBlock = covered ? pieces[0] / worker.shareOf(gang.demand) : 0;
      int needed = perBlock == 0 ? 0 : (entry.getValue() + perBlock - 1) / perBlock;
      covered &= perBlock > 0 && worker.firmRoom() >= needed * pieces[0];
      for (int i = 0; covered && i < needed; i++) {
        blocks.add(new PinnedBlock(guarantee.customer(), block, List.of(worker), pieces));
      }
    }
    if (!covered || blocks.size() > state.ledger.unclaimed(guarantee)) {
      return false;
    }
    blocks.forEach(state.ledger::pin);
    use(gang, blocks);
    return true;
  }

  private void use(Gang gang, List<PinnedBlock> blocks) {
    for (GangTask task : gang.tasks) {
      if (task.state == GangTask.State.ENDED) {
        continue;
      }
      int share = task.worker.shareOf(gang.demand);
      for (PinnedBlock block : blocks) {
        if (block.workers.get(0) == task.worker && block.slots(share) > 0) {
          state.ledger.use(gang, new ClaimUse(block, 0, share));
          break;
        }
      }
    }
  }
}
