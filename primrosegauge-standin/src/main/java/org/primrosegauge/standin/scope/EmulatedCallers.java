package org.primrosegauge.standin.scope;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.primrosegauge.core.JobId;
import org.primrosegauge.core.ServiceId;
import org.primrosegauge.core.scope.QueueName;
import org.primrosegauge.core.scope.QueueSpec;
import org.primrosegauge.core.scope.ScopeCommand;
import org.primrosegauge.core.scope.ScopeJob;
import org.primrosegauge.core.scope.StepSpec;
import org.primrosegauge.core.scope.TaskKey;

/**
 * The callers of an emulated scope, and what their jobs really need.
 *
 * <p>A caller submits its job again until it is accepted, to the address that its queue had at the
 * first time.
 *
 * <p>Not thread-safe; owned by one {@link EmulatedScope}.
 */
final class EmulatedCallers {

  private static final long RETRY_MILLIS = 1_000;

  private final EmulatedScope scope;
  private final Map<JobId, ScopeJob> jobs = new LinkedHashMap<>();
  private final Map<JobId, QueueSpec> addresses = new HashMap<>();
  private final Map<JobId, List<Long>> runMillis = new HashMap<>();
  private final Set<JobId> failing = new HashSet<>();

  EmulatedCallers(EmulatedScope scope) {
    this.scope = scope;
  }

  /** Returns the step of a task as its caller has submitted it. */
  StepSpec specOf(TaskKey task) {
    return jobs.get(task.job()).steps().get(task.step());
  }

  /** Returns how long a task runs, in milliseconds. */
  long runMillisOf(TaskKey task) {
    return runMillis.get(task.job()).get(task.step());
  }

  /** Returns whether every run of a job fails. */
  boolean isFailing(JobId job) {
    return failing.contains(job);
  }

  /**
   * Submits a job now.
   *
   * @param runMillis how long a task of each step runs, in milliseconds
   */
  void submit(ScopeJob job, List<Long> runMillis) {
    prepare(job, runMillis);
    submitUntilAccepted(job);
  }

  /** Prepares a job for its submission, whose address is that of its queue now. */
  void prepare(ScopeJob job, List<Long> runMillis) {
    jobs.put(job.id(), job);
    this.runMillis.put(job.id(), List.copyOf(runMillis));
    scope
        .ledger
        .configuration()
        .queue(job.queue())
        .ifPresent(queue -> addresses.putIfAbsent(job.id(), queue));
  }

  /** Makes every run of a job fail. */
  void fail(JobId job) {
    failing.add(job);
  }

  private void submitUntilAccepted(ScopeJob job) {
    if (scope.ledger.job(job.id()).isEmpty()) {
      hand(job);
      scope.at(scope.now + RETRY_MILLIS, () -> submitUntilAccepted(job));
    }
  }

  /** Hands a job to the leader, unless the address that its caller knows leads nowhere now. */
  void hand(ScopeJob job) {
    QueueSpec address = addresses.get(job.id());
    if (address == null) {
      hand(job, job.queue(), job.pool());
      return;
    }
    scope
        .ledger
        .configuration()
        .queueAt(address.host(), address.pathPrefix())
        .ifPresent(queue -> hand(job, queue.name(), queue.pool()));
  }

  /** Hands a job to the leader, which notes the present as the time of its submission. */
  private void hand(ScopeJob job, QueueName queue, ServiceId pool) {
    scope.leader.ask(
        new ScopeCommand.Submit(
            new ScopeJob(
                job.id(),
                queue,
                pool,
                job.customer(),
                job.maxAttempts(),
                scope.now,
                job.payload(),
                job.steps(),
                job.recurrence())));
  }
}
