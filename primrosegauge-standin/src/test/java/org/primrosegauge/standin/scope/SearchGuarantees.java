package org.primrosegauge.standin.scope;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.primrosegauge.core.CustomerId;
import org.primrosegauge.core.JobId;
import org.primrosegauge.core.scope.QueueSpec;
import org.primrosegauge.core.scope.Recurrence;
import org.primrosegauge.core.scope.ScopeConfiguration;
import org.primrosegauge.core.scope.StepKey;
import org.primrosegauge.core.scope.StepSpec;

/**
 * Judges guarantees: an urgent job begins all tasks of its first step within a time of its
 * acceptance, if all urgent jobs of its customer that have not ended need no more accelerators than
 * the customer's guarantee.
 *
 * <p>Judged only where accelerators alone can be in the way: jobs whose first step has no label and
 * no limit a worker. As tasks need 1, 2, 4 or 8 accelerators, and each worker has 8, all guarantees
 * can be packed at once whenever their sum fits.
 */
final class SearchGuarantees {

  /** Time in which a claim has to begin, in milliseconds. */
  private static final long CLAIM_MILLIS = 2_900;

  private final SearchWorld world;
  private final SearchJudge judge;
  private final Map<JobId, Long> claimedMillis = new HashMap<>();
  private final Set<JobId> excused = new HashSet<>();

  SearchGuarantees(SearchWorld world) {
    this.world = world;
    this.judge = world.judge;
  }

  /** Judges the present. */
  void judge() {
    for (Map.Entry<JobId, Long> accepted : judge.acceptedMillis.entrySet()) {
      JobId id = accepted.getKey();
      if (isOver(id) || excused.contains(id)) {
        continue;
      }
      if (!isClaim(id)) {
        excused.add(id);
      } else if (hasBegun(id)) {
        excused.add(id);
      } else if (world.scope.now
          > claimedMillis.merge(id, accepted.getValue(), Math::max) + CLAIM_MILLIS) {
        excused.add(id);
        judge.add(SearchRule.GUARANTEE, id + " is within its guarantee and has not begun");
      }
    }
  }

  private boolean isClaim(JobId id) {
    SearchWorld.Submitted known = world.submitted.get(id);
    StepSpec first = known.job().steps().get(0);
    boolean isPlain =
        first.requiredLabel().isEmpty()
            && first.maxPerWorker() == 0
            && first.task().accelerators() > 0
            && known.job().recurrence().equals(Recurrence.NONE);
    return isPlain && isUrgent(known) && needed(known.job().customer()) <= guarantee(known);
  }

  private boolean isUrgent(SearchWorld.Submitted known) {
    ScopeConfiguration configuration = world.scope.ledger.configuration();
    return configuration
        .queueAt(SearchWorld.HOST, known.prefix())
        .filter(queue -> queue.priority() == 0)
        .map(QueueSpec::pool)
        .filter(EmulatedScope.POOL::equals)
        .isPresent();
  }

  private int guarantee(SearchWorld.Submitted known) {
    return world.scope.ledger.configuration().guaranteedAccelerators(known.job().customer());
  }

  /** Returns the accelerators that all urgent jobs of a customer need that have not ended. */
  private long needed(CustomerId customer) {
    return judge.acceptedMillis.keySet().stream()
        .filter(id -> !isOver(id))
        .map(world.submitted::get)
        .filter(known -> known.job().customer().equals(customer) && isUrgent(known))
        .flatMap(known -> known.job().steps().stream())
        .mapToLong(step -> (long) step.count() * step.task().accelerators())
        .sum();
  }

  private boolean isOver(JobId id) {
    return judge.wasCancelled(id) || judge.hasFailed(id) || judge.isDone(id);
  }

  private boolean hasBegun(JobId id) {
    StepSpec first = world.submitted.get(id).job().steps().get(0);
    StepKey key = new StepKey(id, 0, 0);
    for (int i = 0; i < first.count(); i++) {
      if (!judge.firstBeginMillis.containsKey(key.task(i))) {
        return false;
      }
    }
    return true;
  }
}
