package org.primrosegauge.node.scope;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.primrosegauge.core.ErrorKind;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.PrimrosegaugeException;
import org.primrosegauge.core.scope.Recurrence;
import org.primrosegauge.node.scope.ScopeMessage.Answer;
import org.primrosegauge.node.scope.ScopeMessage.Question;
import reactor.core.publisher.Mono;
import reactor.test.scheduler.VirtualTimeScheduler;

/** The way to the leader, in virtual time. */
class ScopeClientTest {

  private static final InstanceId SELF = new InstanceId("entry");
  private static final InstanceId FIRST = new InstanceId("first");
  private static final InstanceId SECOND = new InstanceId("second");
  private static final CallerAddress ADDRESS = new CallerAddress("host", "/q/1", null);
  private static final Question READ = new ScopeMessage.AskState(ADDRESS);
  private static final Question WRITE =
      new ScopeMessage.Submit(ADDRESS, new JobSubmission("payload", List.of(), Recurrence.NONE));
  private static final Duration PATIENCE = Duration.ofMillis(2_850);

  /** Half of the time that callers give: what is not served by then is refused. */
  private static final long HALF_OF_THE_PATIENCE_MILLIS = 1_425;

  private VirtualTimeScheduler time;
  private InstanceId leader;
  private InstanceId frozen;
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
    if (to.equals(frozen)) {
      return Mono.delay(timeout).then(Mono.error(error(ErrorKind.OUTCOME_UNKNOWN)));
    }
    if (question instanceof ScopeMessage.AskLeader) {
      List<InstanceId> all = List.of(FIRST, SECOND);
      return Mono.just(new ScopeMessage.Leader(leader, all, all, to.equals(leader)));
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
  void writeThatNobodyTookIsRefusedAtOnce() {
    leader = null;
    ScopeClient client = new ScopeClient(SELF, this::ask, this::now, List.of(FIRST, SECOND));
    Answer answer = answerWithin(client, WRITE, 500);
    assertThat(answer).isEqualTo(new ScopeMessage.Refused(ScopeRefusal.NO_LEADER));
  }
}
