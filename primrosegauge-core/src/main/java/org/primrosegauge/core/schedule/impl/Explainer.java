package org.primrosegauge.core.schedule.impl;

import java.util.Optional;
import org.primrosegauge.core.JobId;
import org.primrosegauge.core.job.JobPhase;
import org.primrosegauge.core.job.Resources;
import org.primrosegauge.core.schedule.Explanation;
import org.primrosegauge.core.schedule.JobReason;

/** Tells operators and callers where a job stands. */
final class Explainer {

  private final DomainState state;

  Explainer(DomainState state) {
    this.state = state;
  }

  Optional<Explanation> explain(JobId job, long nowMillis) {
    Gang gang = state.gangs.get(job);
    if (gang == null) {
      return Optional.empty();
    }
    Resources one = gang.demand;
    int tasks = gang.spec.tasks();
    Resources needed =
        new Resources(
            one.milliCores() * tasks, one.memoryMib() * tasks, one.accelerators() * tasks);
    return Optional.of(
        new Explanation(
            job,
            Math.max(1, gang.attempt),
            gang.phase,
            reason(gang, nowMillis),
            needed,
            behind(gang),
            gang.reasonSinceMillis));
  }

  private JobReason reason(Gang gang, long nowMillis) {
    if (gang.phase != JobPhase.QUEUED) {
      return gang.reason;
    }
    if (state.domainSwitch.out()) {
      return JobReason.WAITS_DOMAIN;
    }
    if (!state.holdsLease(nowMillis)) {
      return JobReason.WAITS_LEASE;
    }
    return state.rebuilding ? JobReason.WAITS_REBUILD : gang.reason;
  }

  private Optional<JobId> behind(Gang gang) {
    Gang ahead = gang.phase == JobPhase.QUEUED ? state.queue.lower(gang) : null;
    return ahead == null ? Optional.empty() : Optional.of(ahead.spec.id());
  }
}
