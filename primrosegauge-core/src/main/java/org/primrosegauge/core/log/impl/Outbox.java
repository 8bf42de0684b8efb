package org.primrosegauge.core.log.impl;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.log.HardState;
import org.primrosegauge.core.log.LogAction;
import org.primrosegauge.core.log.LogEntry;
import org.primrosegauge.core.log.LogMessage;
import org.primrosegauge.core.log.LogSnapshot;

/**
 * Collects the actions for the caller and defers messages that depend on writes which are not
 * durable yet.
 *
 * <p>Not thread-safe. There is one outbox per replica.
 *
 * @since 0.1
 */
public final class Outbox {

  private record DeferredAction(long writeNumber, LogAction action) {}

  private record PendingWrite(long writeNumber, long lastIndex) {}

  private final Queue<DeferredAction> deferred = new ArrayDeque<>();
  private final Queue<PendingWrite> pendingWrites = new ArrayDeque<>();
  private List<LogAction> actions = new ArrayList<>();
  private long lastWriteNumber;
  private long syncedWriteNumber;
  private long durableIndex;

  /**
   * Creates an empty outbox.
   *
   * @param durableIndex last durable index at the start
   * @since 0.1
   */
  public Outbox(long durableIndex) {
    this.durableIndex = durableIndex;
  }

  /** Returns the last durable index. */
  public long durableIndex() {
    return durableIndex;
  }

  /** Returns whether all writes so far are durable. */
  public boolean isSynced() {
    return syncedWriteNumber == lastWriteNumber;
  }

  /** Returns the number of the last write. */
  public long lastWriteNumber() {
    return lastWriteNumber;
  }

  /** Returns the number of the last durable write. */
  public long syncedWriteNumber() {
    return syncedWriteNumber;
  }

  /** Adds an action. */
  public void add(LogAction action) {
    actions.add(action);
  }

  /** Sends a message that does not depend on the durable state of this replica. */
  public void send(InstanceId to, LogMessage message) {
    actions.add(new LogAction.Send(to, message));
  }

  /** Sends a message once all writes made so far are durable. */
  public void sendWhenDurable(InstanceId to, LogMessage message) {
    if (isSynced()) {
      send(to, message);
    } else {
      deferred.add(new DeferredAction(lastWriteNumber, new LogAction.Send(to, message)));
    }
  }

  /** Writes the term and the vote. */
  public void persist(HardState hardState, long lastIndex) {
    actions.add(new LogAction.PersistHardState(addPendingWrite(lastIndex), hardState));
  }

  /** Writes entries. */
  public void persist(List<LogEntry> entries, long lastIndex) {
    actions.add(new LogAction.PersistEntries(addPendingWrite(lastIndex), entries));
  }

  /** Writes a snapshot. */
  public void persist(LogSnapshot snapshot, boolean keepsLaterEntries, long lastIndex) {
    long write = addPendingWrite(lastIndex);
    actions.add(new LogAction.PersistSnapshot(write, snapshot, keepsLaterEntries));
  }

  /** Records that writes are durable and releases the messages that were deferred until then. */
  public void synced(long write) {
    if (write > lastWriteNumber) {
      throw new IllegalArgumentException("write " + write + " was never issued by this replica");
    }
    syncedWriteNumber = Math.max(syncedWriteNumber, write);
    while (!pendingWrites.isEmpty() && pendingWrites.peek().writeNumber() <= syncedWriteNumber) {
      durableIndex = pendingWrites.remove().lastIndex();
    }
    while (!deferred.isEmpty() && deferred.peek().writeNumber() <= syncedWriteNumber) {
      actions.add(deferred.remove().action());
    }
  }

  /** Returns the actions collected since the last call. */
  public List<LogAction> drain() {
    List<LogAction> drained = actions;
    actions = new ArrayList<>();
    return drained;
  }

  private long addPendingWrite(long lastIndex) {
    lastWriteNumber++;
    pendingWrites.add(new PendingWrite(lastWriteNumber, lastIndex));
    return lastWriteNumber;
  }
}
