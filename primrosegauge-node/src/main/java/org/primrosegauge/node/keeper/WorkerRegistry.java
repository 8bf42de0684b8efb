package org.primrosegauge.node.keeper;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.primrosegauge.core.InvalidInputException;
import org.primrosegauge.core.TargetId;
import org.primrosegauge.core.TaskId;
import org.primrosegauge.core.job.JobSpec;
import org.primrosegauge.core.schedule.EndedTask;
import org.primrosegauge.core.schedule.RunningTask;
import org.primrosegauge.core.schedule.TaskOutcome;
import org.primrosegauge.core.schedule.TaskUsage;
import org.primrosegauge.core.schedule.WorkerDescription;
import org.primrosegauge.core.schedule.WorkerReport;
import org.primrosegauge.wire.WireMappers;
import org.primrosegauge.wire.api.TargetView;
import org.primrosegauge.wire.target.TaskEnd;
import org.primrosegauge.wire.target.TaskReport;
import org.primrosegauge.wire.target.WorkerAnnouncement;

/**
 * Workers that announce themselves to the keeper: addresses, leases, and the translation of their
 * announcements into the scheduler's terms.
 *
 * <p>Single-threaded; owned by the keeper duty.
 */
final class WorkerRegistry {

  private static final ObjectMapper JSON = WireMappers.json();

  /** A worker that holds a lease. */
  record Known(WorkerAnnouncement last, long leaseUntilMillis) {}

  private final long leaseMillis;
  private final Map<TargetId, Known> known = new LinkedHashMap<>();

  WorkerRegistry(long leaseMillis) {
    this.leaseMillis = leaseMillis;
  }

  /** Returns how long an announcement holds, in milliseconds. */
  long leaseMillis() {
    return leaseMillis;
  }

  /** Returns the number of workers that hold a lease. */
  int size() {
    return known.size();
  }

  /** Returns the workers that hold a lease, for operators. */
  List<TargetView> views() {
    List<TargetView> views = new ArrayList<>();
    known.forEach((worker, entry) -> views.add(view(worker, entry.last())));
    return views;
  }

  private static TargetView view(TargetId worker, WorkerAnnouncement last) {
    int used = last.tasks().stream().mapToInt(task -> task.usage().accelerators()).sum();
    return new TargetView(
        worker,
        "worker",
        last.domain(),
        last.rack().value(),
        last.leaving() ? "leaving" : "ready",
        used,
        last.capacity().accelerators());
  }

  /** Returns the accelerators that no announced task uses. */
  int freeAccelerators() {
    return known.values().stream().mapToInt(entry -> freeAccelerators(entry.last())).sum();
  }

  private static int freeAccelerators(WorkerAnnouncement worker) {
    int used = worker.tasks().stream().mapToInt(task -> task.usage().accelerators()).sum();
    return worker.capacity().accelerators() - used;
  }

  /** Returns where a worker takes commands. */
  Optional<String> address(TargetId worker) {
    return Optional.ofNullable(known.get(worker)).map(entry -> entry.last().address());
  }

  /** Notes an announcement; it renews the worker's lease. */
  void announced(TargetId worker, WorkerAnnouncement announcement, long nowMillis) {
    known.put(worker, new Known(announcement, nowMillis + leaseMillis));
  }

  /**
   * Renews the lease of a worker that says that nothing has changed.
   *
   * @return whether the version is the one known here; otherwise a full announcement is needed
   */
  boolean renew(TargetId worker, long version, long nowMillis) {
    Known entry = known.get(worker);
    if (entry == null || entry.last().version() != version) {
      return false;
    }
    announced(worker, entry.last(), nowMillis);
    return true;
  }

  /** Removes and returns the workers whose lease has run out. */
  List<TargetId> expire(long nowMillis) {
    List<TargetId> expired = new ArrayList<>();
    known.forEach(
        (worker, entry) -> {
          if (nowMillis >= entry.leaseUntilMillis()) {
            expired.add(worker);
          }
        });
    expired.forEach(known::remove);
    return expired;
  }

  /** Forgets all workers, for an instance that is no longer the keeper. */
  void clear() {
    known.clear();
  }

  /** Returns the description that the scheduler takes. */
  static WorkerDescription describe(TargetId worker, WorkerAnnouncement announcement)
      throws InvalidInputException {
    List<RunningTask> running = new ArrayList<>();
    List<TaskId> reserved = new ArrayList<>();
    for (TaskReport report : announcement.tasks()) {
      if (report.running()) {
        running.add(new RunningTask(report.task(), readRecord(report)));
      } else {
        reserved.add(report.task());
      }
    }
    return new WorkerDescription(
        worker, announcement.rack(), announcement.capacity(), running, reserved);
  }

  /** Returns the report of usage and ended tasks that the scheduler takes. */
  static WorkerReport report(TargetId worker, WorkerAnnouncement announcement) {
    List<TaskUsage> usage =
        announcement.tasks().stream()
            .filter(TaskReport::running)
            .map(task -> new TaskUsage(task.task(), task.usage()))
            .toList();
    List<EndedTask> ended =
        announcement.ended().stream()
            .map(end -> new EndedTask(end.task(), outcome(end.outcome())))
            .toList();
    return new WorkerReport(worker, usage, ended, 0);
  }

  /** Returns the job record that goes with each start. */
  static String writeRecord(JobSpec job) {
    try {
      return JSON.writeValueAsString(job);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("job record cannot be written", e);
    }
  }

  private static JobSpec readRecord(TaskReport report) throws InvalidInputException {
    try {
      return JSON.readValue(report.record(), JobSpec.class);
    } catch (JsonProcessingException e) {
      throw new InvalidInputException(
          "the record of task " + report.task() + " cannot be read",
          "give back the record that came with the start, unchanged",
          "body .tasks",
          e);
    }
  }

  private static TaskOutcome outcome(TaskEnd.Outcome outcome) {
    return switch (outcome) {
      case DONE -> TaskOutcome.DONE;
      case FAILED -> TaskOutcome.FAILED;
      case CHECKPOINTED -> TaskOutcome.CHECKPOINTED;
      case STOPPED -> TaskOutcome.LOST;
    };
  }
}
