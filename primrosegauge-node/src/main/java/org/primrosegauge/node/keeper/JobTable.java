package org.primrosegauge.node.keeper;

import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import org.primrosegauge.core.ConflictException;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.JobId;
import org.primrosegauge.core.NotFoundException;
import org.primrosegauge.core.job.JobPhase;
import org.primrosegauge.core.job.JobSpec;
import org.primrosegauge.core.schedule.SchedulerAction;
import org.primrosegauge.node.job.JobMessage;
import org.primrosegauge.wire.api.JobView;

/**
 * Jobs of the domain as this keeper knows them.
 *
 * <p>Single-threaded; owned by the keeper duty.
 */
final class JobTable {

  private static final class Entry {
    final JobSpec spec;
    int attempt;
    JobPhase phase = JobPhase.QUEUED;
    String reason = "accepted";

    Entry(JobSpec spec) {
      this.spec = spec;
    }
  }

  private final FailureDomainId domain;
  private final SortedMap<JobId, Entry> jobs = new TreeMap<>();

  JobTable(FailureDomainId domain) {
    this.domain = domain;
  }

  /**
   * Adds a job.
   *
   * @return whether it is new; the same job again changes nothing
   * @throws ConflictException when the id was used for another content
   */
  boolean add(JobSpec spec) throws ConflictException {
    Entry known = jobs.get(spec.id());
    if (known == null) {
      jobs.put(spec.id(), new Entry(spec));
      return true;
    }
    if (!known.spec.equals(spec)) {
      throw new ConflictException(
          "job " + spec.id() + " was submitted before with other content",
          "send the same content again, or use a new id",
          "body .id");
    }
    return false;
  }

  void changed(SchedulerAction.JobChanged change) {
    Entry entry = jobs.get(change.job());
    if (entry != null && !entry.phase.isFinal()) {
      entry.attempt = change.attempt();
      entry.phase = change.phase();
      entry.reason = change.reason().label();
    }
  }

  JobView view(JobId job, String waitsFor) throws NotFoundException {
    Entry entry = jobs.get(job);
    if (entry == null) {
      throw JobMessage.absent(job, domain);
    }
    return toView(entry, waitsFor);
  }

  List<JobView> views(int most) {
    List<JobView> views = new ArrayList<>();
    for (Entry entry : jobs.values()) {
      if (views.size() < most) {
        views.add(toView(entry, null));
      }
    }
    return views;
  }

  int count(JobPhase phase) {
    return (int) jobs.values().stream().filter(entry -> entry.phase == phase).count();
  }

  private JobView toView(Entry entry, String waitsFor) {
    return new JobView(
        entry.spec.id().value(),
        entry.spec.customer().value(),
        domain,
        entry.spec.tasks(),
        entry.attempt,
        entry.phase,
        waitsFor == null ? entry.reason : waitsFor,
        "keeper",
        entry.phase.isFinal());
  }
}
