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
  private static final class Waiting {

    private final SortedMap<Long, Integer> submitted = new TreeMap<>();
    private long jobs;

    void add(long submittedMillis) {
      submitted.merge(submittedMillis, 1, Integer::sum);
      jobs++;
    }

    void remove(long submittedMillis) {
      submitted.computeIfPresent(submittedMillis, (time, count) -> count == 1 ? null : count - 1);
      jobs--;
    }
  }

  private final Map<JobId, JobEntry> jobs = new LinkedHashMap<>();
  private final Map<JobId, JobEntry> open = new LinkedHashMap<>();
  private final Map<ServiceId, Map<QueueName, Backlog>> backlogs = new HashMap<>();
  private final Map<QueueName, Waiting> waiting = new HashMap<>();

  /** Jobs that have ended and of which no run may be going on, the earliest end first. */
  private final PriorityQueue<JobEntry> over =
      new PriorityQueue<>(Comparator.comparingLong(JobEntry::endedMillis));

  // Accessors

  JobEntry get(JobId id) {
    return jobs.get(id);
  }

  Collection<JobEntry> all() {
    return Collections.unmodifiableCollection(jobs.values());
  }

  Collection<JobEntry> open() {
    return Collections.unmodifiableCollection(open.values());
  }

  /** Returns the queues in which something waits. */
  Set<QueueName> waitingQueues() {
    return Collections.unmodifiableSet(waiting.keySet());
  }

  long waiting(QueueName queue) {
    Waiting found = waiting.get(queue);
    return found == null ? 0 : found.jobs;
  }

  OptionalLong waitingSince(QueueName queue) {
    Waiting found = waiting.get(queue);
    return found == null ? OptionalLong.empty() : OptionalLong.of(found.submitted.firstKey());
  }

  /** Returns the work that waits for the workers of a pool in queues of some kind. */
  WaitingWork waitingWork(ServiceId pool, Predicate<QueueName> queues) {
    return backlogs.getOrDefault(pool, Map.of()).entrySet().stream()
        .filter(queue -> queues.test(queue.getKey()))
        .map(Map.Entry::getValue)
        .map(work -> new WaitingWork(work.acceleratorMillis(), work.milliCoreMillis()))
        .reduce(WaitingWork.NONE, WaitingWork::plus);
  }

  // Changes

  void clear() {
    jobs.clear();
    open.clear();
    backlogs.clear();
    waiting.clear();
    over.clear();
  }

  /** Adds a job that is not there, in whichever state it is. */
  void add(JobEntry entry) {
    jobs.put(entry.job().id(), entry);
    if (!entry.status().isFinal()) {
      open.put(entry.job().id(), entry);
      entry.joins(backlogOf(entry.job()));
    }
    if (entry.status() == JobStatus.QUEUED) {
      waiting
          .computeIfAbsent(entry.job().queue(), queue -> new Waiting())
          .add(entry.job().submittedMillis());
    }
    addIfOver(entry);
  }

  /** Forgets the jobs that ended before a time, unless a run of them may be going on. */
  void forgetEndedBefore(long millis) {
    while (!over.isEmpty() && over.peek().endedMillis() < millis) {
      jobs.remove(over.poll().job().id());
    }
  }

  void started(JobEntry entry) {
    removeIfWaiting(entry);
    entry.started();
  }

  void runClosed(JobEntry entry) {
    entry.runClosed();
    addIfOver(entry);
  }

  /** Ends a job that has not ended. */
  void end(JobEntry entry, JobStatus as, long atMillis) {
    removeIfWaiting(entry);
    open.remove(entry.job().id());
    entry.end(as, atMillis);
    addIfOver(entry);
  }

  // Internals

  private Backlog backlogOf(ScopeJob job) {
    return backlogs
        .computeIfAbsent(job.pool(), pool -> new HashMap<>())
        .computeIfAbsent(job.queue(), queue -> new Backlog());
  }

  /** Once it is over, nothing starts any more, so each job comes here once. */
  private void addIfOver(JobEntry entry) {
    if (entry.status().isFinal() && entry.openRuns() == 0) {
      over.add(entry);
    }
  }

  private void removeIfWaiting(JobEntry entry) {
    if (entry.status() != JobStatus.QUEUED) {
      return;
    }
    QueueName queue = entry.job().queue();
    Waiting found = waiting.get(queue);
    found.remove(entry.job().submittedMillis());
    if (found.jobs == 0) {
      waiting.remove(queue);
    }
  }
}
