package org.primrosegauge.node.scope;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.primrosegauge.core.ErrorKind;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.PrimrosegaugeException;
import org.primrosegauge.core.scope.Recurrence;
import org.primrosegauge.core.scope.StepSpec;
import org.primrosegauge.node.scope.ScopeMessage.Answer;
import org.primrosegauge.node.scope.ScopeMessage.Question;
import reactor.core.publisher.Mono;
import reactor.test.scheduler.VirtualTimeScheduler;

/** The way to the leader, in virtual time. */
class ScopeClientTest {

  private static final InstanceId SELF = new InstanceId("entry");
  private static final InstanceId FIRST = new InstanceId("first");
  private static final InstanceId SECOND = new InstanceId("second");
  private static final InstanceId THIRD = new InstanceId("third");
  private static final CallerAddress ADDRESS = new CallerAddress("host", "/q/1", null);
  private static final Question READ = new ScopeMessage.AskState(ADDRESS);
  private static final Question WRITE =
      new ScopeMessage.Submit(
          ADDRESS,
          new JobSubmission("payload", List.of(StepSpec.builder(1).build()), Recurrence.NONE));
  private static final Duration PATIENCE = Duration.ofMillis(2_850);

  /** Half of the time that callers give: what is not served by then is refused. */
  private static final long HALF_OF_THE_PATIENCE_MILLIS = 1_425;

  private VirtualTimeScheduler time;
  private InstanceId leader;
  private InstanceId frozen;
  private List<InstanceId> voters = List.of(FIRST, SECOND);
  private boolean areAllDown;
  private InstanceId slow;
  private long slowMillis;
  private final Map<Class<?>, Integer> asked = new HashMap<>();
  private Answer writes = new ScopeMessage.Done();

  @BeforeEach
  void begin() {
    time = VirtualTimeScheduler.getOrSet();
    leader = FIRST;
  }

  @AfterEach
  void end() {
    VirtualTimeScheduler.reset();
  }

  private long now() {
    return time.now(TimeUnit.MILLISECONDS);
  }

  /** Instances that answer at once, but for one that is frozen. */
  private Mono<Answer> ask(InstanceId to, Question question, Duration timeout) {
    asked.merge(question.getClass(), 1, Integer::sum);
    if (areAllDown) {
      return Mono.error(error(ErrorKind.UNAVAILABLE));
    }
    if (to.equals(slow)) {
      Duration delay = Duration.ofMillis(slowMillis);
      return delay.compareTo(timeout) < 0
          ? Mono.delay(delay).flatMap(passed -> answerOf(to, question))
          : Mono.delay(timeout).then(Mono.error(error(ErrorKind.OUTCOME_UNKNOWN)));
    }
    if (to.equals(frozen)) {
      return Mono.delay(timeout).then(Mono.error(error(ErrorKind.OUTCOME_UNKNOWN)));
    }
    return answerOf(to, question);
  }

  private Mono<Answer> answerOf(InstanceId to, Question question) {
    if (question instanceof ScopeMessage.AskLeader) {
      return Mono.just(new ScopeMessage.Leader(leader, voters, voters, to.equals(leader)));
    }
    return Mono.just(to.equals(leader) ? writes : new ScopeMessage.NotLeader(leader));
  }

  private static PrimrosegaugeException error(ErrorKind kind) {
    return new PrimrosegaugeException(kind, "no answer", "", "");
  }

  private ScopeClient clientThatKnowsTheLeader() {
    ScopeClient client = new ScopeClient(SELF, this::ask, this::now, List.of(FIRST, SECOND));
    client.tick(now());
    assertThat(client.leader()).isEqualTo(FIRST);
    return client;
  }

  private Answer answerWithin(ScopeClient client, Question question, long millis) {
    AtomicReference<Answer> answer = new AtomicReference<>();
    client.ask(question, PATIENCE).subscribe(answer::set);
    time.advanceTimeBy(Duration.ofMillis(millis));
    return answer.get();
  }

  /** A caller who only asks is told to come back, not held while the leader may wake again. */
  @Test
  void readWithoutAnswerOfFrozenLeaderIsRefusedInTime() {
    ScopeClient client = clientThatKnowsTheLeader();
    frozen = FIRST;
    Answer answer = answerWithin(client, READ, HALF_OF_THE_PATIENCE_MILLIS);
    assertThat(answer).isEqualTo(new ScopeMessage.Refused(ScopeRefusal.NO_LEADER));
  }

  /**
   * The frozen leader may still carry the order out, so "not run" would not be true. The caller is
   * told while there is time to hand the same order in elsewhere.
   */
  @Test
  void writeThatFrozenLeaderMayCarryOutIsNeverRefused() {
    ScopeClient client = clientThatKnowsTheLeader();
    frozen = FIRST;
    Answer answer = answerWithin(client, WRITE, HALF_OF_THE_PATIENCE_MILLIS);
    assertThat(answer).isInstanceOf(ScopeMessage.Unknown.class);
  }

  /**
   * The first try is lost on its way and may arrive yet, so the refusal of the second is not all.
   */
  @ParameterizedTest
  @EnumSource(
      value = ScopeRefusal.class,
      names = {"BACKLOG", "OVERLOADED", "NO_LEADER"})
  void refusalAfterAnOpenTryIsNotPassedOn(ScopeRefusal reason) {
    final ScopeClient client = clientThatKnowsTheLeader();
    frozen = FIRST;
    leader = SECOND;
    writes = new ScopeMessage.Refused(reason, 5_000);
    Answer answer = answerWithin(client, WRITE, PATIENCE.toMillis());
    assertThat(answer).isInstanceOf(ScopeMessage.Unknown.class);
  }

  @Test
  void refusalOfTheOnlyTryIsPassedOn() {
    ScopeClient client = clientThatKnowsTheLeader();
    writes = new ScopeMessage.Refused(ScopeRefusal.BACKLOG, 5_000);
    assertThat(answerWithin(client, WRITE, 100)).isEqualTo(writes);
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void newLeaderAnswersInsteadOfTheFrozenOne(boolean isWrite) {
    ScopeClient client = clientThatKnowsTheLeader();
    frozen = FIRST;
    leader = SECOND;
    Answer answer = answerWithin(client, isWrite ? WRITE : READ, HALF_OF_THE_PATIENCE_MILLIS);
    assertThat(answer).isInstanceOf(ScopeMessage.Done.class);
  }

  @Test
  void writeThatNobodyCanTakeIsRefusedAtOnce() {
    areAllDown = true;
    ScopeClient client = new ScopeClient(SELF, this::ask, this::now, List.of(FIRST, SECOND));
    Answer answer = answerWithin(client, WRITE, 500);
    assertThat(answer).isEqualTo(new ScopeMessage.Refused(ScopeRefusal.NO_LEADER));
  }

  /** Callers of an election were told to come back after it, which for urgent work was too late. */
  @Test
  void writeIsTakenByTheLeaderThatIsAboutToBeElected() {
    leader = null;
    ScopeClient client = new ScopeClient(SELF, this::ask, this::now, List.of(FIRST, SECOND));
    AtomicReference<Answer> answer = new AtomicReference<>();
    client.ask(WRITE, PATIENCE).subscribe(answer::set);
    tickFor(client, 800);
    leader = SECOND;
    tickFor(client, 200);
    assertThat(answer.get()).isInstanceOf(ScopeMessage.Done.class);
  }

  @Test
  void writeIsRefusedWhenNoLeaderIsElectedInTheTimeOfAnElection() {
    leader = null;
    ScopeClient client = new ScopeClient(SELF, this::ask, this::now, List.of(FIRST, SECOND));
    Answer answer = answerWithin(client, WRITE, 1_100);
    assertThat(answer).isEqualTo(new ScopeMessage.Refused(ScopeRefusal.NO_LEADER));
  }

  /**
   * Callers were told 504 of calls that the next leader could have decided in their time; they
   * cannot try those again.
   */
  @ParameterizedTest
  @ValueSource(longs = {1_000, 2_000, 2_500})
  void nextLeaderAnswersWhatTheLostOneMayHaveCarriedOut(long electedAfterMillis) {
    voters = List.of(FIRST, SECOND, THIRD);
    ScopeClient client = clientThatKnowsTheLeader();
    frozen = FIRST;
    AtomicReference<Answer> answer = new AtomicReference<>();
    client.ask(WRITE, PATIENCE).subscribe(answer::set);
    tickFor(client, electedAfterMillis);
    assertThat(answer.get()).isNull();
    leader = SECOND;
    tickFor(client, 300);
    assertThat(answer.get()).isInstanceOf(ScopeMessage.Done.class);
  }

  /** All that keep the log are gone: the caller is told while it can turn elsewhere. */
  @Test
  void writeThatMayHaveRunIsNotHeldWhenNobodyCanElect() {
    ScopeClient client = clientThatKnowsTheLeader();
    frozen = FIRST;
    AtomicReference<Answer> answer = new AtomicReference<>();
    client.ask(WRITE, PATIENCE).subscribe(answer::set);
    areAllDown = true;
    tickFor(client, HALF_OF_THE_PATIENCE_MILLIS + 50);
    assertThat(answer.get()).isInstanceOf(ScopeMessage.Unknown.class);
  }

  /** Lets time pass with the client's checks, as its process does. */
  private void tickFor(ScopeClient client, long millis) {
    for (long at = 0; at < millis; at += 50) {
      time.advanceTimeBy(Duration.ofMillis(50));
      client.tick(now());
    }
  }

  private AtomicReference<Answer> askSlowLeader(
      ScopeClient client, Question question, long delayMillis) {
    slow = FIRST;
    slowMillis = delayMillis;
    // The leader has been as slow for a while, so it answers earlier questions meanwhile.
    tickFor(client, 2 * delayMillis);
    asked.clear();
    AtomicReference<Answer> answer = new AtomicReference<>();
    client.ask(question, PATIENCE).subscribe(answer::set);
    return answer;
  }

  /** Guards against answers that are ready in the caller's time and given up before. */
  @ParameterizedTest
  @CsvSource({"700, false", "700, true", "1500, false", "1500, true", "2400, true"})
  void answerOfSlowLeaderInTheCallersTimeIsDelivered(long delayMillis, boolean isWrite) {
    ScopeClient client = clientThatKnowsTheLeader();
    AtomicReference<Answer> answer = askSlowLeader(client, isWrite ? WRITE : READ, delayMillis);
    tickFor(client, delayMillis + 50);
    assertThat(answer.get()).isInstanceOf(ScopeMessage.Done.class);
  }

  /** Guards against retries that multiply the load of a leader that is behind already. */
  @Test
  void questionIsNotSentAgainWhileItIsOpen() {
    ScopeClient client = clientThatKnowsTheLeader();
    askSlowLeader(client, WRITE, 2_400);
    tickFor(client, 2_450);
    assertThat(asked.get(WRITE.getClass())).isEqualTo(1);
  }

  /** Guards against a question that stays with a silent leader when the next is known late. */
  @Test
  void questionFollowsTheLeaderThatIsElectedLater() {
    ScopeClient client = clientThatKnowsTheLeader();
    frozen = FIRST;
    AtomicReference<Answer> answer = new AtomicReference<>();
    client.ask(WRITE, PATIENCE).subscribe(answer::set);
    tickFor(client, 1_000);
    leader = SECOND;
    tickFor(client, 400);
    assertThat(answer.get()).isInstanceOf(ScopeMessage.Done.class);
  }

  /** Guards against an open question that outlives the one who asked. */
  @Test
  void questionToSlowLeaderEndsWithTheCallersTime() {
    ScopeClient client = clientThatKnowsTheLeader();
    AtomicReference<Answer> answer = askSlowLeader(client, WRITE, 900);
    slowMillis = 60_000;
    tickFor(client, PATIENCE.toMillis());
    assertThat(answer.get()).isNotNull();
  }

  /** Guards against checks of all entry instances that fill the ring of a busy leader. */
  @Test
  void leaderThatAnswersQuestionsIsRarelyAskedWhetherItLeads() {
    ScopeClient client = clientThatKnowsTheLeader();
    asked.clear();
    for (long at = 0; at < 9_000; at += 100) {
      client.ask(READ, PATIENCE).subscribe();
      tickFor(client, 100);
    }
    assertThat(asked.get(ScopeMessage.AskLeader.class)).isAtMost(3);
  }
}
