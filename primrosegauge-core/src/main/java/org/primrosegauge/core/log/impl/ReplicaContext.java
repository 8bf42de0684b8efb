package org.primrosegauge.core.log.impl;

import java.util.List;
import java.util.Objects;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.Term;
import org.primrosegauge.core.log.HardState;
import org.primrosegauge.core.log.LogAction;
import org.primrosegauge.core.log.LogEntry;
import org.primrosegauge.core.log.LogIndex;
import org.primrosegauge.core.log.Membership;
import org.primrosegauge.core.log.RecoveredLog;
import org.primrosegauge.core.log.ReplicaId;
import org.primrosegauge.core.log.cfg.LogSettings;

/**
 * State that is shared by the roles of a replica.
 *
 * <p>Not thread-safe. There is one context per replica.
 *
 * @since 0.1
 */
public final class ReplicaContext {

  private final LogSettings settings;
  private final ReplicaId self;
  private final MemoryLog log;
  private final Outbox outbox;
  private HardState hardState;
  private long committed;
  private InstanceId leader;

  /**
   * Creates the state from the content of a data folder.
   *
   * @since 0.1
   */
  public ReplicaContext(LogSettings settings, RecoveredLog recovered) {
    this.settings = settings;
    this.self = new ReplicaId(settings.self(), recovered.storage());
    this.log = new MemoryLog(recovered);
    this.outbox = new Outbox(log.lastIndex());
    this.hardState = recovered.hardState();
    this.committed = log.snapshotIndex();
  }

  /** Returns the settings. */
  public LogSettings settings() {
    return settings;
  }

  /** Returns the id of this replica. */
  public ReplicaId self() {
    return self;
  }

  /** Returns the log. */
  public MemoryLog log() {
    return log;
  }

  /** Returns the outbox. */
  public Outbox outbox() {
    return outbox;
  }

  /** Returns the current term. */
  public Term term() {
    return hardState.term();
  }

  /** Returns the current term and vote. */
  public HardState hardState() {
    return hardState;
  }

  /** Returns the leader; null if none is known. */
  public InstanceId leader() {
    return leader;
  }

  /** Returns the last committed index. */
  public long committed() {
    return committed;
  }

  /** Returns the members as of the last entry, committed or not. */
  public Membership membership() {
    return log.membership();
  }

  /** Returns whether this replica is a voter. */
  public boolean isVoter() {
    return membership().isVoter(self);
  }

  /** Changes the term and the vote and persists them. */
  public void updateHardState(HardState changed) {
    if (!changed.equals(hardState)) {
      hardState = changed;
      outbox.persist(changed, log.lastIndex());
    }
  }

  /** Sets the leader; null if none is known any more. */
  public void setLeader(InstanceId newLeader) {
    if (!Objects.equals(leader, newLeader)) {
      leader = newLeader;
      outbox.add(new LogAction.LeaderChanged(newLeader, term()));
    }
  }

  /** Appends entries, replacing existing ones at the same indices, and persists them. */
  public void append(List<LogEntry> entries) {
    long first = entries.get(0).index().number();
    if (first <= committed) {
      throw new IllegalStateException("entry " + first + " is committed and cannot be replaced");
    }
    if (first <= log.lastIndex()) {
      log.truncateAfter(first - 1);
    }
    entries.forEach(log::append);
    outbox.persist(entries, log.lastIndex());
  }

  /** Commits all entries up to an index. */
  public void commit(long index) {
    if (index <= committed) {
      return;
    }
    outbox.add(new LogAction.Commit(log.range(committed, index)));
    committed = index;
  }

  /** Advances the committed index after a snapshot replaced the entries up to it. */
  public void advanceCommittedTo(LogIndex index) {
    committed = Math.max(committed, index.number());
  }
}
