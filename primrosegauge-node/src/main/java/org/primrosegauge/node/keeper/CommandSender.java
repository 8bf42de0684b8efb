package org.primrosegauge.node.keeper;

import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import org.primrosegauge.core.TargetId;
import org.primrosegauge.core.TaskId;
import org.primrosegauge.core.schedule.SchedulerAction;
import org.primrosegauge.core.schedule.StopMode;
import org.primrosegauge.node.metrics.NodeMetrics;
import org.primrosegauge.node.target.WorkerClient;
import org.primrosegauge.wire.target.TaskCommand;
import org.primrosegauge.wire.target.TaskCommandReply;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends the scheduler's actions to workers and hands their answers back.
 *
 * <p>Called by the keeper duty only; answers arrive on event loops and go back through the duty's
 * ring.
 */
final class CommandSender {

  private static final Logger LOG = LoggerFactory.getLogger(CommandSender.class);

  /** Commands that were not carried out, for the counters. */
  enum CommandFailure {
    /** The worker is not known any more. */
    WORKER_GONE,
    /** The lease ended before the start was sent. */
    LEASE_ENDED,
    /** The worker refused. */
    REFUSED,
    /** No answer came. */
    SILENT
  }

  private final WorkerRegistry workers;
  private final WorkerClient client;
  private final NodeMetrics metrics;
  private final BooleanSupplier mayStart;

  CommandSender(
      WorkerRegistry workers, WorkerClient client, NodeMetrics metrics, BooleanSupplier mayStart) {
    this.workers = workers;
    this.client = client;
    this.metrics = metrics;
    this.mayStart = mayStart;
  }

  /** Asks a worker to hold capacity. */
  void reserve(SchedulerAction.Reserve action, BiConsumer<TaskId, Boolean> onReply) {
    TaskCommand command =
        new TaskCommand(
            TaskCommand.Action.RESERVE,
            action.term(),
            action.resources(),
            action.leaseMillis(),
            null,
            null);
    send(action.target(), action.task(), command, onReply);
  }

  /**
   * Starts a task, if the lease still holds. A start that was not sent is answered as refused,
   * which is true: the task did not run.
   */
  void start(SchedulerAction.Start action, BiConsumer<TaskId, Boolean> onReply) {
    if (!mayStart.getAsBoolean()) {
      metrics.refused("command", CommandFailure.LEASE_ENDED);
      onReply.accept(action.task(), false);
      return;
    }
    TaskCommand command =
        new TaskCommand(
            TaskCommand.Action.START,
            action.term(),
            null,
            0,
            action.command(),
            WorkerRegistry.writeRecord(action.job()));
    send(action.target(), action.task(), command, onReply);
  }

  /** Drops a reservation. Silence is harmless: the reservation expires. */
  void release(SchedulerAction.Release action) {
    send(
        action.target(),
        action.task(),
        new TaskCommand(TaskCommand.Action.RELEASE, action.term(), null, 0, null, null),
        (task, accepted) -> {});
  }

  /** Takes capacity back. Silence is handled by the scheduler, which sends the stop again. */
  void stop(SchedulerAction.Stop action) {
    send(
        action.target(),
        action.task(),
        new TaskCommand(toAction(action.mode()), action.term(), null, 0, null, null),
        (task, accepted) -> {});
  }

  private void send(
      TargetId worker, TaskId task, TaskCommand command, BiConsumer<TaskId, Boolean> onReply) {
    String address = workers.address(worker).orElse(null);
    if (address == null) {
      metrics.refused("command", CommandFailure.WORKER_GONE);
      return;
    }
    client
        .send(address, task, command)
        .subscribe(
            reply -> answered(worker, task, reply, onReply),
            error -> {
              metrics.refused("command", CommandFailure.SILENT);
              LOG.debug(
                  "worker {} did not answer {} for {}", worker, command.action(), task, error);
            });
  }

  private void answered(
      TargetId worker, TaskId task, TaskCommandReply reply, BiConsumer<TaskId, Boolean> onReply) {
    if (!reply.accepted()) {
      metrics.refused("command", CommandFailure.REFUSED);
      LOG.debug("worker {} refused task {}: {}", worker, task, reply.reason());
    }
    onReply.accept(task, reply.accepted());
  }

  private static TaskCommand.Action toAction(StopMode mode) {
    return switch (mode) {
      case CHECKPOINT -> TaskCommand.Action.CHECKPOINT;
      case THROTTLE -> TaskCommand.Action.THROTTLE;
      case STOP -> TaskCommand.Action.STOP;
    };
  }
}
