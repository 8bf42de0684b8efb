package org.primrosegauge.standin.scope;

import java.util.Map;
import org.primrosegauge.core.JobId;
import org.primrosegauge.core.scope.Recurrence;

/** Judges the number of jobs of a queue of which no task has begun, as callers may ask for it. */
final class SearchCounts {

  /** Time after which an accepted job has to be counted, in milliseconds. */
  private static final long VISIBLE_MILLIS = 5_000;

  private final SearchWorld world;
  private final SearchJudge judge;

  SearchCounts(SearchWorld world) {
    this.world = world;
    this.judge = world.judge;
  }

  /** Judges the present: half of the jobs that have not begun must be counted. */
  void judge() {
    if (!judge.isLeaderSound()) {
      return;
    }
    world.queues().forEach(queue -> judge(queue.pathPrefix()));
  }

  private void judge(String prefix) {
    long shown =
        world.scope.ledger.configuration().queueAt(SearchWorld.HOST, prefix).stream()
            .mapToLong(queue -> world.scope.ledger.queuedJobs(queue.name()))
            .sum();
    long waiting =
        judge.acceptedMillis.entrySet().stream().filter(job -> waits(job, prefix)).count();
    if (2 * shown < waiting) {
      judge.add(
          SearchRule.PENDING, shown + " of " + waiting + " jobs of " + prefix + " are counted");
    }
  }

  private boolean waits(Map.Entry<JobId, Long> accepted, String prefix) {
    SearchWorld.Submitted known = world.submitted.get(accepted.getKey());
    return known.prefix().equals(prefix)
        && known.job().recurrence().equals(Recurrence.NONE)
        && world.scope.now > accepted.getValue() + VISIBLE_MILLIS
        && !judge.begunJobs.contains(accepted.getKey())
        && !judge.wasCancelled(accepted.getKey());
  }
}
