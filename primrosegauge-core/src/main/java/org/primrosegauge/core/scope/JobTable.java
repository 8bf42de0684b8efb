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
 * Jobs of a ledger with what is asked of them often: those that have not ended, what waits in each
 * queue and how much work that is, and which of the ended ones can be forgotten.
 *
 * <p>A change costs what it touches, however many jobs there are. Not thread-safe.
 */
final class JobTable {

  /** Times of submission of the jobs of one queue of which nothing has started. */
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

  /** Jobs that have ended and of which no run may be going on, the earliest end first. */
  private final PriorityQueue<JobEntry> purgeable =
      new PriorityQueue<>(Comparator.comparingLong(JobEntry::endedMillis));

  // Accessors

  JobEntry get(JobId id) {
    return jobs.get(id);
  }

  Collection<JobEntry> all() {
    return Collections.unmodifiableCollection(jobs.values());
  }

  Collection<JobEntry> unfinished() {
    return Collections.unmodifiableCollection(unfinished.values());
  }

  /** Returns the queues in which something waits. */
  Set<QueueName> queuesWithQueuedJobs() {
    return Collections.unmodifiableSet(queuedJobs.keySet());
  }

  long queuedJobs(QueueName queue) {
    QueuedJobs found = queuedJobs.get(queue);
    return found == null ? 0 : found.count;
  }

  OptionalLong oldestQueuedMillis(QueueName queue) {
    QueuedJobs found = queuedJobs.get(queue);
    return found == null ? OptionalLong.empty() : OptionalLong.of(found.submitTimes.firstKey());
  }

  /** Returns the work that waits for the workers of a pool in queues of some kind. */
  PendingWork pendingWork(ServiceId pool, Predicate<QueueName> queues) {
    return backlogs.getOrDefault(pool, Map.of()).entrySet().stream()
        .filter(queue -> queues.test(queue.getKey()))
        .map(Map.Entry::getValue)
        .map(work -> new PendingWork(work.acceleratorMillis(), work.milliCoreMillis()))
        .reduce(PendingWork.NONE, PendingWork::plus);
  }

  // Changes

  void clear() {
    jobs.clear();
    unfinished.clear();
    backlogs.clear();
    queuedJobs.clear();
    purgeable.clear();
  }

  /** Adds a job that is not there, in whichever state it is. */
  void add(JobEntry entry) {
    jobs.put(entry.job().id(), entry);
    if (!entry.status().isFinal()) {
      unfinished.put(entry.job().id(), entry);
      entry.attachBacklog(backlogOf(entry.job()));
    }
    if (entry.status() == JobStatus.QUEUED) {
      queuedJobs
          .computeIfAbsent(entry.job().queue(), queue -> new QueuedJobs())
          .add(entry.job().submittedMillis());
    }
    addIfPurgeable(entry);
  }

  /** Forgets the jobs that ended before a time, unless a run of them may be going on. */
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
  void end(JobEntry entry, JobStatus as, long atMillis) {
    removeIfQueued(entry);
    unfinished.remove(entry.job().id());
    entry.end(as, atMillis);
    addIfPurgeable(entry);
  }

  // Internals

  private Backlog backlogOf(ScopeJob job) {
    return backlogs
        .computeIfAbsent(job.pool(), pool -> new HashMap<>())
        .computeIfAbsent(job.queue(), queue -> new Backlog());
  }

  /** Once it is over, nothing starts any more, so each job comes here once. */
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
    QueuedJobs found = queuedJobs.get(queue);
    found.remove(entry.job().submittedMillis());
    if (found.count == 0) {
      queuedJobs.remove(queue);
    }
  }
}
