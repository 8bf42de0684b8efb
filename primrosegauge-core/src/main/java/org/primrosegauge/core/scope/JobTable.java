package org.primrosegauge.core.scope;

import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.primrosegauge.core.JobId;
import org.primrosegauge.core.ServiceId;

/**
 * Jobs of a ledger, indexed for frequent queries: unfinished jobs, queued jobs and pending work per
 * queue, and ended jobs that can be purged.
 *
 * <p>The cost of an update does not depend on the number of jobs. Not thread-safe.
 */
final class JobTable {

  /** Submission times of the jobs of a queue of which no task has started yet. */
  private static final class QueuedJobs {

    private final SortedMap<Long, Integer> submitTimes = new TreeMap<>();
    private long count;

    void add(long submittedMillis) {
      submitTimes.merge(submittedMillis, 1, Integer::sum);
      count++;
    }

    void remove(long submittedMillis) {
      submitTimes.computeIfPresent(submittedMillis, (time, count) -> count == 1 ? null : count - 1);
      count--;
    }
  }

  private final Map<JobId, JobEntry> jobs = new LinkedHashMap<>();
  private final Map<JobId, JobEntry> unfinished = new LinkedHashMap<>();
  private final Map<ServiceId, Map<QueueName, Backlog>> backlogs = new HashMap<>();
  private final Map<QueueName, QueuedJobs> queuedJobs = new HashMap<>();

  /** Jobs that have ended and have no open runs, earliest end first. */
  private final PriorityQueue<JobEntry> purgeable =
      new PriorityQueue<>(Comparator.comparingLong(JobEntry::endedMillis));

  JobEntry get(JobId id) {
    return jobs.get(id);
  }

  Collection<JobEntry> all() {
    return Collections.unmodifiableCollection(jobs.values());
  }

  Collection<JobEntry> unfinished() {
    return Collections.unmodifiableCollection(unfinished.values());
  }

  /** Returns the queues that have queued jobs. */
  Set<QueueName> queuesWithQueuedJobs() {
    return Collections.unmodifiableSet(queuedJobs.keySet());
  }

  long queuedJobs(QueueName queue) {
    QueuedJobs queued = queuedJobs.get(queue);
    return queued == null ? 0 : queued.count;
  }

  OptionalLong oldestQueuedMillis(QueueName queue) {
    QueuedJobs queued = queuedJobs.get(queue);
    return queued == null ? OptionalLong.empty() : OptionalLong.of(queued.submitTimes.firstKey());
  }

  /** Returns the pending work for the workers of a pool in the queues that match a predicate. */
  PendingWork pendingWork(ServiceId pool, Predicate<QueueName> queues) {
    return backlogs.getOrDefault(pool, Map.of()).entrySet().stream()
        .filter(queue -> queues.test(queue.getKey()))
        .map(Map.Entry::getValue)
        .map(work -> new PendingWork(work.acceleratorMillis(), work.milliCoreMillis()))
        .reduce(PendingWork.NONE, PendingWork::plus);
  }

  void clear() {
    jobs.clear();
    unfinished.clear();
    backlogs.clear();
    queuedJobs.clear();
    purgeable.clear();
  }

  /** Adds a job that the table does not contain yet, in any status. */
  void add(JobEntry entry) {
    jobs.put(entry.job().id(), entry);
    if (!entry.status().isFinal()) {
      unfinished.put(entry.job().id(), entry);
    }
    attach(entry);
    addIfPurgeable(entry);
  }

  /** Removes the jobs that ended before the given time, except those with open runs. */
  void purgeEndedBefore(long millis) {
    while (!purgeable.isEmpty() && purgeable.peek().endedMillis() < millis) {
      jobs.remove(purgeable.poll().job().id());
    }
  }

  void runOpened(JobEntry entry) {
    removeIfQueued(entry);
    entry.runOpened();
  }

  void runClosed(JobEntry entry) {
    entry.runClosed();
    addIfPurgeable(entry);
  }

  /** Ends a job that has not ended. */
  void end(JobEntry entry, JobStatus finalStatus, long atMillis) {
    removeIfQueued(entry);
    unfinished.remove(entry.job().id());
    entry.end(finalStatus, atMillis);
    addIfPurgeable(entry);
  }

  /** Moves a job to another queue or to another service. */
  void move(JobEntry entry, QueueName queue, ServiceId pool) {
    removeIfQueued(entry);
    entry.moveTo(entry.job().withQueue(queue, pool));
    attach(entry);
  }

  private void attach(JobEntry entry) {
    if (!entry.status().isFinal()) {
      entry.attachBacklog(backlogOf(entry.job()));
    }
    if (entry.status() == JobStatus.QUEUED) {
      queuedJobs
          .computeIfAbsent(entry.job().queue(), queue -> new QueuedJobs())
          .add(entry.job().submittedMillis());
    }
  }

  private Backlog backlogOf(ScopeJob job) {
    return backlogs
        .computeIfAbsent(job.pool(), pool -> new HashMap<>())
        .computeIfAbsent(job.queue(), queue -> new Backlog());
  }

  /** No run of an ended job is opened any more, so each job becomes purgeable only once. */
  private void addIfPurgeable(JobEntry entry) {
    if (entry.status().isFinal() && entry.openRuns() == 0) {
      purgeable.add(entry);
    }
  }

  private void removeIfQueued(JobEntry entry) {
    if (entry.status() != JobStatus.QUEUED) {
      return;
    }
    QueueName queue = entry.job().queue();
    QueuedJobs queued = queuedJobs.get(queue);
    queued.remove(entry.job().submittedMillis());
    if (queued.count == 0) {
      queuedJobs.remove(queue);
    }
  }
}
