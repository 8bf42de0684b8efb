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
 * Collects actions and holds back the messages that claim something which is not durable yet.
 *
 * <p>Single-threaded; lives as long as its replica.
 *
 * @since 0.1
 */
public final class Outbox {

  private record Held(long write, LogAction action) {}

  private record PendingWrite(long write, long lastIndex) {}

  private final Queue<Held> held = new ArrayDeque<>();
  private final Queue<PendingWrite> pending = new ArrayDeque<>();
  private List<LogAction> actions = new ArrayList<>();
  private long lastWrite;
  private long syncedWrite;
  private long durableIndex;

  /**
   * Creates an empty outbox.
   *
   * @param durableIndex last position that is durable at the start
   * @since 0.1
   */
  public Outbox(long durableIndex) {
    this.durableIndex = durableIndex;
  }

  /** Returns the last position that is durable. */
  public long durableIndex() {
    return durableIndex;
  }

  /** Tells whether all writes so far are durable. */
  public boolean isSynced() {
    return syncedWrite == lastWrite;
  }

  /** Returns the number of the last write. */
  public long lastWrite() {
    return lastWrite;
  }

  /** Returns the number of the last durable write. */
  public long syncedWrite() {
    return syncedWrite;
  }

  /** Adds an action. */
  public void add(LogAction action) {
    actions.add(action);
  }

  /** Sends a message that claims nothing about this replica's durable state. */
  public void send(InstanceId to, LogMessage message) {
    actions.add(new LogAction.Send(to, message));
  }

  /** Sends a message once all writes made so far are durable. */
  public void sendWhenDurable(InstanceId to, LogMessage message) {
    if (isSynced()) {
      send(to, message);
    } else {
      held.add(new Held(lastWrite, new LogAction.Send(to, message)));
    }
  }

  /** Writes term and vote. */
  public void persist(HardState hardState, long lastIndex) {
    actions.add(new LogAction.PersistHardState(nextWrite(lastIndex), hardState));
  }

  /** Writes entries. */
  public void persist(List<LogEntry> entries, long lastIndex) {
    actions.add(new LogAction.PersistEntries(nextWrite(lastIndex), entries));
  }

  /** Writes a snapshot. */
  public void persist(LogSnapshot snapshot, boolean keepsLaterEntries, long lastIndex) {
    long write = nextWrite(lastIndex);
    actions.add(new LogAction.PersistSnapshot(write, snapshot, keepsLaterEntries));
  }

  /** Notes that writes are durable and releases the messages that waited for them. */
  public void synced(long write) {
    if (write > lastWrite) {
      throw new IllegalArgumentException("write " + write + " was never made");
    }
    syncedWrite = Math.max(syncedWrite, write);
    while (!pending.isEmpty() && pending.peek().write() <= syncedWrite) {
      durableIndex = pending.remove().lastIndex();
    }
    while (!held.isEmpty() && held.peek().write() <= syncedWrite) {
      actions.add(held.remove().action());
    }
  }

  /** Returns the actions collected since the last call. */
  public List<LogAction> drain() {
    List<LogAction> drained = actions;
    actions = new ArrayList<>();
    return drained;
  }

  private long nextWrite(long lastIndex) {
    lastWrite++;
    pending.add(new PendingWrite(lastWrite, lastIndex));
    return lastWrite;
  }
}
