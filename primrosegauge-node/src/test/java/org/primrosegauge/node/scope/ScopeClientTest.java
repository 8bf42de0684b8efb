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
  private static final Duration CALLER_TIMEOUT = Duration.ofMillis(2_850);

  /** Half of the time that callers give: what is not served by then is refused. */
  private static final long HALF_CALLER_TIMEOUT_MILLIS = 1_425;

  private VirtualTimeScheduler time;
  private InstanceId leader;
  private InstanceId suspended;
  private List<InstanceId> voters = List.of(FIRST, SECOND);
  private boolean areAllDown;
  private InstanceId slow;
  private long slowMillis;
  private final Map<Class<?>, Integer> requestCounts = new HashMap<>();
  private Answer writeResponse = new ScopeMessage.Done();

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
    requestCounts.merge(question.getClass(), 1, Integer::sum);
    if (areAllDown) {
      return Mono.error(error(ErrorKind.UNAVAILABLE));
    }
    if (to.equals(slow)) {
      Duration delay = Duration.ofMillis(slowMillis);
      return delay.compareTo(timeout) < 0
          ? Mono.delay(delay).flatMap(passed -> responseOf(to, question))
          : Mono.delay(timeout).then(Mono.error(error(ErrorKind.OUTCOME_UNKNOWN)));
    }
    if (to.equals(suspended)) {
      return Mono.delay(timeout).then(Mono.error(error(ErrorKind.OUTCOME_UNKNOWN)));
    }
    return responseOf(to, question);
  }

  private Mono<Answer> responseOf(InstanceId to, Question question) {
    if (question instanceof ScopeMessage.AskLeader) {
      return Mono.just(new ScopeMessage.Leader(leader, voters, voters, to.equals(leader)));
    }
    return Mono.just(to.equals(leader) ? writeResponse : new ScopeMessage.NotLeader(leader));
  }

  private static PrimrosegaugeException error(ErrorKind kind) {
    return new PrimrosegaugeException(kind, "no answer", "", "");
  }

  private ScopeClient clientWithKnownLeader() {
    ScopeClient client = new ScopeClient(SELF, this::ask, this::now, List.of(FIRST, SECOND));
    client.tick(now());
    assertThat(client.leader()).isEqualTo(FIRST);
    return client;
  }

  private Answer responseWithin(ScopeClient client, Question question, long millis) {
    AtomicReference<Answer> answer = new AtomicReference<>();
    client.ask(question, CALLER_TIMEOUT).subscribe(answer::set);
    time.advanceTimeBy(Duration.ofMillis(millis));
    return answer.get();
  }

  /** A caller who only asks is told to come back, not held while the leader may wake again. */
  @Test
  void readToSuspendedLeaderIsRefusedBeforeCallerTimesOut() {
    ScopeClient client = clientWithKnownLeader();
    suspended = FIRST;
    Answer answer = responseWithin(client, READ, HALF_CALLER_TIMEOUT_MILLIS);
    assertThat(answer).isEqualTo(new ScopeMessage.Refused(ScopeRefusal.NO_LEADER));
  }

  /**
   * The frozen leader may still carry the order out, so "not run" would not be true. The caller is
   * told while there is time to hand the same order in elsewhere.
   */
  @Test
  void writeThatSuspendedLeaderMayExecuteIsNeverRefused() {
    ScopeClient client = clientWithKnownLeader();
    suspended = FIRST;
    Answer answer = responseWithin(client, WRITE, HALF_CALLER_TIMEOUT_MILLIS);
    assertThat(answer).isInstanceOf(ScopeMessage.Unknown.class);
  }

  /**
   * The first try is lost on its way and may arrive yet, so the refusal of the second is not all.
   */
  @ParameterizedTest
  @EnumSource(
      value = ScopeRefusal.class,
      names = {"BACKLOG", "OVERLOADED", "NO_LEADER"})
  void transientRefusalIsNotReturnedWhileEarlierAttemptIsInFlight(ScopeRefusal reason) {
    final ScopeClient client = clientWithKnownLeader();
    suspended = FIRST;
    leader = SECOND;
    writeResponse = new ScopeMessage.Refused(reason, 5_000);
    Answer answer = responseWithin(client, WRITE, CALLER_TIMEOUT.toMillis());
    assertThat(answer).isInstanceOf(ScopeMessage.Unknown.class);
  }

  @Test
  void refusalOfOnlyAttemptIsReturned() {
    ScopeClient client = clientWithKnownLeader();
    writeResponse = new ScopeMessage.Refused(ScopeRefusal.BACKLOG, 5_000);
    assertThat(responseWithin(client, WRITE, 100)).isEqualTo(writeResponse);
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void newLeaderRespondsInsteadOfSuspendedLeader(boolean isWrite) {
    ScopeClient client = clientWithKnownLeader();
    suspended = FIRST;
    leader = SECOND;
    Answer answer = responseWithin(client, isWrite ? WRITE : READ, HALF_CALLER_TIMEOUT_MILLIS);
    assertThat(answer).isInstanceOf(ScopeMessage.Done.class);
  }

  @Test
  void writeIsRefusedEarlyWhenNoInstanceIsReachable() {
    areAllDown = true;
    ScopeClient client = new ScopeClient(SELF, this::ask, this::now, List.of(FIRST, SECOND));
    Answer answer = responseWithin(client, WRITE, 500);
    assertThat(answer).isEqualTo(new ScopeMessage.Refused(ScopeRefusal.NO_LEADER));
  }

  /** Callers of an election were told to come back after it, which for urgent work was too late. */
  @Test
  void writeIsAcceptedByLeaderElectedMeanwhile() {
    leader = null;
    ScopeClient client = new ScopeClient(SELF, this::ask, this::now, List.of(FIRST, SECOND));
    AtomicReference<Answer> answer = new AtomicReference<>();
    client.ask(WRITE, CALLER_TIMEOUT).subscribe(answer::set);
    advance(client, 800);
    leader = SECOND;
    advance(client, 200);
    assertThat(answer.get()).isInstanceOf(ScopeMessage.Done.class);
  }

  @Test
  void writeIsRefusedWhenElectionTakesTooLong() {
    leader = null;
    ScopeClient client = new ScopeClient(SELF, this::ask, this::now, List.of(FIRST, SECOND));
    Answer answer = responseWithin(client, WRITE, 1_100);
    assertThat(answer).isEqualTo(new ScopeMessage.Refused(ScopeRefusal.NO_LEADER));
  }

  /**
   * Callers were told 504 of calls that the next leader could have decided in their time; they
   * cannot try those again.
   */
  @ParameterizedTest
  @ValueSource(longs = {1_000, 2_000, 2_500})
  void nextLeaderRespondsToWriteThatLostLeaderMayHaveExecuted(long electedAfterMillis) {
    voters = List.of(FIRST, SECOND, THIRD);
    ScopeClient client = clientWithKnownLeader();
    suspended = FIRST;
    AtomicReference<Answer> answer = new AtomicReference<>();
    client.ask(WRITE, CALLER_TIMEOUT).subscribe(answer::set);
    advance(client, electedAfterMillis);
    assertThat(answer.get()).isNull();
    leader = SECOND;
    advance(client, 300);
    assertThat(answer.get()).isInstanceOf(ScopeMessage.Done.class);
  }

  /** All that keep the log are gone: the caller is told while it can turn elsewhere. */
  @Test
  void writeOfUnknownOutcomeEndsEarlyWithoutQuorum() {
    ScopeClient client = clientWithKnownLeader();
    suspended = FIRST;
    AtomicReference<Answer> answer = new AtomicReference<>();
    client.ask(WRITE, CALLER_TIMEOUT).subscribe(answer::set);
    areAllDown = true;
    advance(client, HALF_CALLER_TIMEOUT_MILLIS + 50);
    assertThat(answer.get()).isInstanceOf(ScopeMessage.Unknown.class);
  }

  /** Lets time pass with the client's checks, as its process does. */
  private void advance(ScopeClient client, long millis) {
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
    advance(client, 2 * delayMillis);
    requestCounts.clear();
    AtomicReference<Answer> answer = new AtomicReference<>();
    client.ask(question, CALLER_TIMEOUT).subscribe(answer::set);
    return answer;
  }

  /** Guards against answers that are ready in the caller's time and given up before. */
  @ParameterizedTest
  @CsvSource({"700, false", "700, true", "1500, false", "1500, true", "2400, true"})
  void responseOfSlowLeaderWithinCallerTimeoutIsDelivered(long delayMillis, boolean isWrite) {
    ScopeClient client = clientWithKnownLeader();
    AtomicReference<Answer> answer = askSlowLeader(client, isWrite ? WRITE : READ, delayMillis);
    advance(client, delayMillis + 50);
    assertThat(answer.get()).isInstanceOf(ScopeMessage.Done.class);
  }

  /** Guards against retries that multiply the load of a leader that is behind already. */
  @Test
  void requestIsNotResentWhileInFlight() {
    ScopeClient client = clientWithKnownLeader();
    askSlowLeader(client, WRITE, 2_400);
    advance(client, 2_450);
    assertThat(requestCounts.get(WRITE.getClass())).isEqualTo(1);
  }

  /** Guards against a question that stays with a silent leader when the next is known late. */
  @Test
  void requestIsRetriedAtLeaderElectedLater() {
    ScopeClient client = clientWithKnownLeader();
    suspended = FIRST;
    AtomicReference<Answer> answer = new AtomicReference<>();
    client.ask(WRITE, CALLER_TIMEOUT).subscribe(answer::set);
    advance(client, 1_000);
    leader = SECOND;
    advance(client, 400);
    assertThat(answer.get()).isInstanceOf(ScopeMessage.Done.class);
  }

  /** Guards against an open question that outlives the one who asked. */
  @Test
  void requestToSlowLeaderEndsAtCallerTimeout() {
    ScopeClient client = clientWithKnownLeader();
    AtomicReference<Answer> answer = askSlowLeader(client, WRITE, 900);
    slowMillis = 60_000;
    advance(client, CALLER_TIMEOUT.toMillis());
    assertThat(answer.get()).isNotNull();
  }

  /** Guards against checks of all entry instances that fill the ring of a busy leader. */
  @Test
  void leaderThatRespondsToRequestsIsRarelyProbed() {
    ScopeClient client = clientWithKnownLeader();
    requestCounts.clear();
    for (long at = 0; at < 9_000; at += 100) {
      client.ask(READ, CALLER_TIMEOUT).subscribe();
      advance(client, 100);
    }
    assertThat(requestCounts.get(ScopeMessage.AskLeader.class)).isAtMost(3);
  }
}
