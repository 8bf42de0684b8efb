package org.primrosegauge.standin;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.RackId;
import org.primrosegauge.core.TargetId;
import org.primrosegauge.core.TaskId;
import org.primrosegauge.core.Term;
import org.primrosegauge.core.job.Resources;
import org.primrosegauge.wire.target.AnnouncementReply;
import org.primrosegauge.wire.target.TaskCommand;
import org.primrosegauge.wire.target.TaskCommandReply;
import org.primrosegauge.wire.target.TaskEnd;
import org.primrosegauge.wire.target.TaskReport;
import org.primrosegauge.wire.target.WorkerAnnouncement;

/**
 * One worker without hardware. A task's command {@code run 200} ends well after 200 ms, {@code fail
 * 50} ends with an error after 50 ms.
 *
 * <p>Thread-safe: all methods are synchronized. The owner calls {@link #advance} often enough.
 *
 * @since 0.1
 */
public final class WorkerStandin {

  private static final Pattern COMMAND = Pattern.compile("(run|fail) ([0-9]{1,9})");

  /** What happened on a worker, for the histories of fault runs. */
  public record TaskEvent(TargetId worker, TaskId task, String event, Term term) {}

  private static final class HeldTask {
    final Resources resources;
    long reservedUntil;
    long endsAt;
    boolean running;
    boolean fails;
    String record = "";

    HeldTask(Resources resources, long reservedUntil) {
      this.resources = resources;
      this.reservedUntil = reservedUntil;
    }
  }

  private final TargetId id;
  private final FailureDomainId domain;
  private final RackId rack;
  private final Resources capacity;
  private final String address;
  private final Consumer<TaskEvent> events;
  private final Map<TaskId, HeldTask> held = new LinkedHashMap<>();
  private final Map<TaskId, TaskEnd> ended = new LinkedHashMap<>();
  private Term highestTerm = Term.NONE;
  private long leaseUntil = Long.MAX_VALUE;
  private boolean leaving;
  private long version = System.currentTimeMillis();
  private long acknowledgedVersion;

  /**
   * Creates an idle worker.
   *
   * @param address base address of its HTTP interface
   * @param events told of each start and end
   * @since 0.1
   */
  public WorkerStandin(
      TargetId id,
      FailureDomainId domain,
      RackId rack,
      Resources capacity,
      String address,
      Consumer<TaskEvent> events) {
    this.id = id;
    this.domain = domain;
    this.rack = rack;
    this.capacity = capacity;
    this.address = address;
    this.events = events;
  }

  /**
   * Returns the id of the worker.
   *
   * @since 0.1
   */
  public TargetId id() {
    return id;
  }

  /**
   * Carries out a keeper's command, or refuses it.
   *
   * @since 0.1
   */
  public synchronized TaskCommandReply execute(TaskId task, TaskCommand command, long nowMillis) {
    advance(nowMillis);
    if (highestTerm.isAfter(command.term())) {
      return TaskCommandReply.refused("stale term " + command.term() + " < " + highestTerm);
    }
    highestTerm = command.term();
    version++;
    return switch (command.action()) {
      case RESERVE -> reserve(task, command, nowMillis);
      case START -> start(task, command, nowMillis);
      case RELEASE -> release(task);
      case CHECKPOINT -> stop(task, TaskEnd.Outcome.CHECKPOINTED);
      case STOP -> stop(task, TaskEnd.Outcome.STOPPED);
      case THROTTLE ->
          held.containsKey(task)
              ? TaskCommandReply.ACCEPTED
              : TaskCommandReply.refused("no such task");
    };
  }

  /**
   * Ends tasks and reservations whose time has come.
   *
   * @since 0.1
   */
  public synchronized void advance(long nowMillis) {
    if (nowMillis >= leaseUntil) {
      stopAll();
    }
    List<TaskId> due = new ArrayList<>();
    held.forEach(
        (task, state) -> {
          if (state.running ? nowMillis >= state.endsAt : nowMillis >= state.reservedUntil) {
            due.add(task);
          }
        });
    for (TaskId task : due) {
      HeldTask state = held.remove(task);
      version++;
      if (state.running) {
        end(task, state.fails ? TaskEnd.Outcome.FAILED : TaskEnd.Outcome.DONE);
      }
    }
  }

  /**
   * Says that the worker is shutting down.
   *
   * @since 0.1
   */
  public synchronized void leave() {
    leaving = true;
    version++;
  }

  /**
   * Returns what the worker announces now.
   *
   * @since 0.1
   */
  public synchronized WorkerAnnouncement announcement(long nowMillis) {
    advance(nowMillis);
    List<TaskReport> tasks = new ArrayList<>();
    held.forEach(
        (task, state) ->
            tasks.add(new TaskReport(task, state.running, state.resources, state.record)));
    return new WorkerAnnouncement(
        address, domain, rack, capacity, leaving, tasks, List.copyOf(ended.values()), version);
  }

  /**
   * Returns the version of what {@link #announcement} would say, if the keeper has acknowledged
   * just that; a renewal is then enough.
   *
   * @since 0.1
   */
  public synchronized OptionalLong unchangedVersion(long nowMillis) {
    advance(nowMillis);
    return version == acknowledgedVersion ? OptionalLong.of(version) : OptionalLong.empty();
  }

  /**
   * Takes the answer to an announcement: renews the lease and forgets the ends that were
   * acknowledged.
   *
   * @param sentMillis when the announcement was sent; the lease counts from then
   * @param sentVersion version that was sent
   * @since 0.1
   */
  public synchronized void acknowledged(
      AnnouncementReply reply, long sentMillis, long sentVersion) {
    if (reply.leaseMillis() > 0) {
      leaseUntil = sentMillis + reply.leaseMillis();
      acknowledgedVersion = sentVersion;
    } else {
      acknowledgedVersion = 0;
    }
    if (reply.acknowledged() != null) {
      if (ended.keySet().removeAll(reply.acknowledged())) {
        version++;
      }
    }
  }

  /** A worker without a lease stops its tasks: a keeper may have started them elsewhere. */
  private void stopAll() {
    for (TaskId task : List.copyOf(held.keySet())) {
      stop(task, TaskEnd.Outcome.STOPPED);
    }
  }

  private TaskCommandReply reserve(TaskId task, TaskCommand command, long nowMillis) {
    HeldTask known = held.get(task);
    if (known != null) {
      known.reservedUntil = nowMillis + command.leaseMillis();
      return TaskCommandReply.ACCEPTED;
    }
    if (leaving) {
      return TaskCommandReply.refused("leaving");
    }
    if (!command.resources().fitsIn(free())) {
      return TaskCommandReply.refused("no capacity");
    }
    held.put(task, new HeldTask(command.resources(), nowMillis + command.leaseMillis()));
    return TaskCommandReply.ACCEPTED;
  }

  private TaskCommandReply start(TaskId task, TaskCommand command, long nowMillis) {
    HeldTask state = held.get(task);
    if (state == null) {
      return TaskCommandReply.refused("not reserved");
    }
    if (state.running) {
      return TaskCommandReply.ACCEPTED;
    }
    Matcher matcher = COMMAND.matcher(command.command());
    if (!matcher.matches()) {
      held.remove(task);
      return TaskCommandReply.refused("unknown command, use 'run MILLIS' or 'fail MILLIS'");
    }
    state.running = true;
    state.fails = matcher.group(1).equals("fail");
    state.endsAt = nowMillis + Long.parseLong(matcher.group(2));
    state.record = command.record() == null ? "" : command.record();
    events.accept(new TaskEvent(id, task, "start", command.term()));
    return TaskCommandReply.ACCEPTED;
  }

  private TaskCommandReply release(TaskId task) {
    HeldTask state = held.get(task);
    if (state != null && state.running) {
      return TaskCommandReply.refused("already running");
    }
    held.remove(task);
    return TaskCommandReply.ACCEPTED;
  }

  private TaskCommandReply stop(TaskId task, TaskEnd.Outcome outcome) {
    HeldTask state = held.remove(task);
    if (state != null && state.running) {
      end(task, outcome);
    }
    return TaskCommandReply.ACCEPTED;
  }

  private void end(TaskId task, TaskEnd.Outcome outcome) {
    ended.put(task, new TaskEnd(task, outcome));
    events.accept(new TaskEvent(id, task, outcome.name().toLowerCase(), highestTerm));
  }

  private Resources free() {
    Resources used = Resources.NONE;
    for (HeldTask state : held.values()) {
      used = used.plus(state.resources);
    }
    return capacity.minus(used);
  }

  /** Interval in which the owner shall call {@link #advance}. */
  static final Duration ADVANCE_INTERVAL = Duration.ofMillis(20);
}
