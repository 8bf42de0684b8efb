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
 * State that the roles of a replica share.
 *
 * <p>Single-threaded; lives as long as its replica.
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
   * Creates the state that a data folder holds.
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

  /** Returns this replica. */
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

  /** Returns the present term. */
  public Term term() {
    return hardState.term();
  }

  /** Returns term and vote. */
  public HardState hardState() {
    return hardState;
  }

  /** Returns the leader; null while none is known. */
  public InstanceId leader() {
    return leader;
  }

  /** Returns the last committed position. */
  public long committed() {
    return committed;
  }

  /** Returns the members as of the last entry. */
  public Membership membership() {
    return log.membership();
  }

  /** Tells whether this replica votes. */
  public boolean isVoter() {
    return membership().isVoter(self);
  }

  /** Changes term and vote and writes them. */
  public void updateHardState(HardState changed) {
    if (!changed.equals(hardState)) {
      hardState = changed;
      outbox.persist(changed, log.lastIndex());
    }
  }

  /** Notes the leader; null when none is known any more. */
  public void setLeader(InstanceId newLeader) {
    if (!Objects.equals(leader, newLeader)) {
      leader = newLeader;
      outbox.add(new LogAction.LeaderChanged(newLeader, term()));
    }
  }

  /** Appends entries, replacing those at their positions, and writes them. */
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

  /** Commits up to a position. */
  public void commit(long index) {
    if (index <= committed) {
      return;
    }
    outbox.add(new LogAction.Commit(log.range(committed, index)));
    committed = index;
  }

  /** Notes that a snapshot replaced everything up to a position. */
  public void advanceCommittedTo(LogIndex index) {
    committed = Math.max(committed, index.number());
  }
}
