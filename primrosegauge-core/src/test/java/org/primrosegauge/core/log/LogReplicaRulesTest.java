package org.primrosegauge.core.log;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.Term;
import org.primrosegauge.core.log.LogAction.Commit;
import org.primrosegauge.core.log.LogAction.Persist;
import org.primrosegauge.core.log.LogAction.Send;
import org.primrosegauge.core.log.LogMessage.AppendReply;
import org.primrosegauge.core.log.LogMessage.Release;
import org.primrosegauge.core.log.LogMessage.VoteReply;
import org.primrosegauge.core.log.LogMessage.VoteRequest;
import org.primrosegauge.core.log.cfg.LogSettings;

/** Tests of rules whose violation random schedules detect too rarely. */
class LogReplicaRulesTest {

  private static final InstanceId A = new InstanceId("a");
  private static final InstanceId B = new InstanceId("b");
  private static final InstanceId C = new InstanceId("c");
  private static final StorageId STORAGE_A = new StorageId("sa");
  private static final StorageId STORAGE_B = new StorageId("sb");
  private static final StorageId STORAGE_C = new StorageId("sc");
  private static final LogSettings SETTINGS = LogSettings.of(A, List.of(A, B, C));
  private static final Membership MEMBERS =
      new Membership(List.of(voter(A, STORAGE_A), voter(B, STORAGE_B), voter(C, STORAGE_C)));

  private static Member voter(InstanceId instance, StorageId storage) {
    return new Member(new ReplicaId(instance, storage), Member.Role.VOTER);
  }

  /** Creates a replica in term 3 whose log has an uncommitted entry of term 2. */
  private static LogReplica replica() {
    byte[] none = {};
    LogEntry first = new LogEntry(new LogIndex(1), new Term(1), 0, MEMBERS, none);
    LogEntry second = new LogEntry(new LogIndex(2), new Term(2), 0, null, new byte[] {1});
    RecoveredLog recovered =
        new RecoveredLog(
            STORAGE_A, new HardState(new Term(3), null, false), null, List.of(first, second));
    return new LogReplica(SETTINGS, recovered, new SplittableRandom(1), 0);
  }

  /** An entry that no message between replicas has room for stopped the log for ever. */
  @ParameterizedTest
  @CsvSource({"0, true", "1, false"})
  void commandIsAppendedOnlyIfItCanBeReplicated(int excessBytes, boolean appended) {
    LogReplica replica = replica();
    long now = SETTINGS.electionMaxMillis();
    elect(replica, now, new ArrayList<>());
    long last = replica.lastIndex().number();
    byte[] command = new byte[LogEntry.MAX_COMMAND_BYTES + excessBytes];
    List<LogAction> actions = replica.propose(command, now);
    boolean isTooLarge =
        actions.stream()
            .anyMatch(
                action ->
                    action instanceof LogAction.ProposalRefused refused
                        && refused.reason() == LogAction.ProposalRefused.Reason.TOO_LARGE);
    assertThat(isTooLarge).isEqualTo(!appended);
    assertThat(replica.lastIndex().number()).isEqualTo(appended ? last + 1 : last);
  }

  @Test
  void restartedReplicaIgnoresVoteRequestsForOneElectionTimeout() {
    LogReplica replica = replica();
    VoteRequest request =
        new VoteRequest(new Term(4), STORAGE_B, false, new LogIndex(9), new Term(3));
    long withheldMillis = SETTINGS.electionMinMillis();
    assertThat(replica.received(B, request, withheldMillis - 1)).isEmpty();
    assertThat(replica.received(B, request, withheldMillis)).isNotEmpty();
  }

  /**
   * Guards against a site without a leader for a whole election timeout after all instances were
   * killed, although the last leader is back and its lease cannot be valid any more.
   */
  @ParameterizedTest
  @CsvSource({"3, true", "2, false"})
  void voteIsNotWithheldOnceTheLeaderOfTheTermLeadsNoMore(long releasedTerm, boolean granted) {
    LogReplica replica = replica();
    List<LogAction> actions = new ArrayList<>();
    Release release = new Release(new Term(releasedTerm), STORAGE_B, B);
    syncAll(replica, replica.received(B, release, 0), 0, actions);
    VoteRequest request =
        new VoteRequest(new Term(4), STORAGE_B, false, new LogIndex(9), new Term(3));
    syncAll(replica, replica.received(B, request, 0), 0, actions);
    boolean isGranted =
        actions.stream()
            .filter(Send.class::isInstance)
            .map(action -> ((Send) action).message())
            .anyMatch(message -> message instanceof VoteReply reply && reply.granted());
    assertThat(isGranted).isEqualTo(granted);
  }

  /** The last leader may lack entries that others have, so that it cannot be elected itself. */
  @Test
  void anotherReplicaStandsSoonIfTheFormerLeaderIsNotElected() {
    LogReplica replica = replica();
    replica.received(B, new Release(new Term(3), STORAGE_B, B), 0);
    assertThat(sendsVoteRequest(replica.tick(0))).isFalse();
    assertThat(sendsVoteRequest(replica.tick(SETTINGS.electionMinMillis()))).isTrue();
  }

  private static boolean sendsVoteRequest(List<LogAction> actions) {
    return actions.stream()
        .filter(Send.class::isInstance)
        .anyMatch(action -> ((Send) action).message() instanceof VoteRequest);
  }

  /** A pre-vote that voters ignored because they withheld their votes was asked for only once. */
  @Test
  void preVoteIsRepeatedUntilItIsGranted() {
    LogReplica replica = replica();
    long requests = 0;
    long now = SETTINGS.electionMaxMillis();
    for (long end = now + SETTINGS.electionMinMillis(); now < end; now += 10) {
      requests += sendsVoteRequest(replica.tick(now)) ? 1 : 0;
    }
    assertThat(requests).isAtLeast(SETTINGS.electionMinMillis() / SETTINGS.heartbeatMillis());
    assertThat(replica.term()).isEqualTo(new Term(3));
  }

  /** Lets a replica win an election with the vote of another voter. */
  private static void elect(LogReplica replica, long now, List<LogAction> actions) {
    syncAll(replica, replica.tick(now), now, actions);
    VoteReply preVote = new VoteReply(new Term(4), STORAGE_B, true, true);
    syncAll(replica, replica.received(B, preVote, now), now, actions);
    VoteReply vote = new VoteReply(new Term(4), STORAGE_B, false, true);
    syncAll(replica, replica.received(B, vote, now), now, actions);
  }

  /**
   * Guards against a leader that steps down without a successor, which left the site without a
   * leader for seconds.
   */
  @Test
  void leaderWithoutSuccessorKeepsLeading() {
    LogReplica replica = replica();
    List<LogAction> actions = new ArrayList<>();
    long now = SETTINGS.electionMaxMillis();
    elect(replica, now, actions);
    // Neither of the other voters has replied yet, so neither is known to hold all committed
    // entries.
    assertThat(replica.transferLeadership(now)).isEmpty();
    assertThat(replica.isLeader()).isTrue();
  }

  @Test
  void entryOfEarlierTermIsNotCommittedByCountingReplicas() {
    LogReplica replica = replica();
    List<LogAction> actions = new ArrayList<>();
    long now = SETTINGS.electionMaxMillis();
    elect(replica, now, actions);
    assertThat(replica.isLeader()).isTrue();

    AppendReply old = new AppendReply(new Term(4), STORAGE_B, true, new LogIndex(2), now);
    syncAll(replica, replica.received(B, old, now), now, actions);
    assertThat(replica.committed()).isEqualTo(LogIndex.NONE);
    assertThat(replica.readIndex(now)).isEmpty();

    AppendReply current = new AppendReply(new Term(4), STORAGE_B, true, new LogIndex(3), now);
    syncAll(replica, replica.received(B, current, now), now, actions);
    assertThat(replica.committed()).isEqualTo(new LogIndex(3));
    assertThat(replica.readIndex(now)).isPresent();
    assertThat(replica.readIndex(now + SETTINGS.leaseMillis())).isEmpty();
    assertThat(actions.stream().anyMatch(Commit.class::isInstance)).isTrue();
    assertThat(actions.stream().anyMatch(Send.class::isInstance)).isTrue();
  }

  private static void syncAll(
      LogReplica replica, List<LogAction> step, long now, List<LogAction> all) {
    all.addAll(step);
    for (LogAction action : step) {
      if (action instanceof Persist write) {
        syncAll(replica, replica.synced(write.writeNumber(), now), now, all);
      }
    }
  }
}
