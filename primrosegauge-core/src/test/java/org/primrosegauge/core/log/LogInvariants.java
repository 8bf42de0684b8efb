package org.primrosegauge.core.log;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.RequestId;
import org.primrosegauge.core.Revision;
import org.primrosegauge.core.Term;
import org.primrosegauge.core.registry.RegistryResult;

/** Invariants of the log that must hold in every run of the simulation. */
final class LogInvariants {

  private final Map<Term, InstanceId> leaders = new HashMap<>();
  private final List<LogEntry> committed = new ArrayList<>();
  private final Map<RequestId, RegistryResult> results = new HashMap<>();
  private final Map<InstanceId, Revision> revisions = new HashMap<>();
  private long acknowledged;

  /** Checks that a term has at most one leader. */
  void checkSingleLeader(InstanceId instance, Term term) {
    InstanceId first = leaders.putIfAbsent(term, instance);
    assertWithMessage("leaders of term %s", term).that(instance).isEqualTo(orElse(first, instance));
  }

  /** Checks that every replica commits the same entries in the same order. */
  void checkCommit(InstanceId instance, LogEntry entry, boolean isLeader) {
    int position = (int) entry.index().number() - 1;
    if (position < committed.size()) {
      assertWithMessage("entry committed by %s", instance)
          .that(entry)
          .isEqualTo(committed.get(position));
    } else {
      assertWithMessage("gap at %s", instance).that(position).isEqualTo(committed.size());
      committed.add(entry);
    }
    if (isLeader) {
      acknowledged = Math.max(acknowledged, entry.index().number());
    }
  }

  /** Checks that an entry is durable on a quorum of the voters when it is committed. */
  void checkDurableOnQuorum(LogEntry entry, Membership members, List<RecoveredLog> disks) {
    assertWithMessage("voters of %s that hold %s are a quorum", members, entry.index())
        .that(members.isQuorum(voter -> disks.stream().anyMatch(disk -> holds(disk, voter, entry))))
        .isTrue();
  }

  private static boolean holds(RecoveredLog disk, ReplicaId voter, LogEntry entry) {
    boolean isInSnapshot =
        disk.snapshot() != null && disk.snapshot().index().compareTo(entry.index()) >= 0;
    return disk.storage().equals(voter.storage())
        && (isInSnapshot || disk.entries().contains(entry));
  }

  /** Checks that what a message acknowledges or grants is durable at its sender. */
  void checkSentMessage(RecoveredLog durable, LogMessage message) {
    if (message instanceof LogMessage.AppendReply reply && reply.accepted()) {
      int entries = durable.entries().size();
      long base = durable.snapshot() == null ? 0 : durable.snapshot().index().number();
      long last = entries == 0 ? base : durable.entries().get(entries - 1).index().number();
      assertWithMessage("durable at %s", durable.storage())
          .that(last)
          .isAtLeast(reply.index().number());
    } else if (message instanceof LogMessage.VoteReply reply
        && reply.granted()
        && !reply.preVote()) {
      assertWithMessage("durable term at %s", durable.storage())
          .that(durable.hardState().term())
          .isAtLeast(reply.term());
    }
  }

  /** Checks that a read under the lease includes everything that any leader has acknowledged. */
  void checkRead(InstanceId instance, LogIndex index) {
    assertWithMessage("read of %s", instance).that(index.number()).isAtLeast(acknowledged);
  }

  /** Checks that a request id has the same result on every replica and on every retry. */
  void checkResult(RequestId request, RegistryResult result) {
    RegistryResult first = results.putIfAbsent(request, result);
    assertWithMessage("answer to request %s", request)
        .that(result)
        .isEqualTo(orElse(first, result));
  }

  /** Checks that the revision in force on an instance never decreases while it runs. */
  void checkRevision(InstanceId instance, Revision revision) {
    Revision before = revisions.put(instance, revision);
    assertWithMessage("revision at %s", instance)
        .that(revision)
        .isAtLeast(orElse(before, revision));
  }

  /** Records that an instance restarted and applies its log again. */
  void onRestart(InstanceId instance) {
    revisions.remove(instance);
  }

  long acknowledged() {
    return acknowledged;
  }

  private static <T> T orElse(T value, T other) {
    return value == null ? other : value;
  }
}
