package org.primrosegauge.node.scope;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.primrosegauge.core.CustomerId;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.HostPort;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.Revision;
import org.primrosegauge.core.ServiceId;
import org.primrosegauge.core.TargetId;
import org.primrosegauge.core.job.Resources;
import org.primrosegauge.core.scope.CustomerSpec;
import org.primrosegauge.core.scope.JobStatus;
import org.primrosegauge.core.scope.PollResult;
import org.primrosegauge.core.scope.QueueName;
import org.primrosegauge.core.scope.QueueSpec;
import org.primrosegauge.core.scope.Recurrence;
import org.primrosegauge.core.scope.RunEnd;
import org.primrosegauge.core.scope.RunOutcome;
import org.primrosegauge.core.scope.ScopeAction;
import org.primrosegauge.core.scope.ScopeConfiguration;
import org.primrosegauge.core.scope.StartResult;
import org.primrosegauge.core.scope.StepSpec;
import org.primrosegauge.core.scope.StopResult;
import org.primrosegauge.core.scope.WorkerHeartbeat;
import org.primrosegauge.core.scope.WorkerInfo;
import org.primrosegauge.core.scope.WorkerKey;
import org.primrosegauge.core.scope.cfg.ScopeSettings;
import org.primrosegauge.node.FreePort;
import org.primrosegauge.node.duty.MonotonicClock;
import org.primrosegauge.node.scope.cfg.ScopeNodeSettings;
import reactor.core.publisher.Mono;

/**
 * Complete instances over the loopback interface: three that replicate the log, and one that does
 * not.
 */
class ScopeInstanceTest {

  private static final List<String> HOSTS = List.of("127.0.0.2", "127.0.0.3", "127.0.0.4");
  private static final String ENTRY = "127.0.0.5";
  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(2);
  private static final int MAX_ATTEMPTS = 200;
  private static final CallerAddress JOB = new CallerAddress("host", "/q/00aa", "k1");

  @TempDir Path folder;
  private final Map<String, ScopeInstance> instances = new LinkedHashMap<>();
  private final InstantWorker worker = new InstantWorker();
  private int port;

  @BeforeEach
  void start() throws Exception {
    port = FreePort.on(ENTRY);
    for (String host : HOSTS) {
      startInstance(host, true, Optional.of(folder.resolve(host)));
    }
    startInstance(ENTRY, true, Optional.empty());
  }

  @AfterEach
  void stop() {
    instances.values().forEach(ScopeInstance::close);
  }

  private void startInstance(String host, boolean isFirstStart, Optional<Path> data)
      throws Exception {
    ScopeNodeSettings settings =
        new ScopeNodeSettings(
            new InstanceId(host),
            port,
            data,
            HOSTS.stream().map(InstanceId::new).toList(),
            isFirstStart,
            HOSTS.size(),
            4_000,
            60_000,
            ScopeSettings.DEFAULT);
    ScopeInstance instance =
        new ScopeInstance(
            settings,
            MonotonicClock.system().nowMillis(),
            worker,
            ScopeInstanceTest::parse,
            failure -> {
              throw new IllegalStateException(failure);
            });
    instances.put(host, instance);
    instance.start();
  }

  private ScopeMessage.Answer ask(ScopeMessage.Question request) {
    return instances.get(ENTRY).client().ask(request, REQUEST_TIMEOUT).block();
  }

  /** Retries until the response has the given type, as callers do. */
  private <T> T askUntil(ScopeMessage.Question request, Class<T> type) throws Exception {
    ScopeMessage.Answer response = ask(request);
    for (int i = 0; i < MAX_ATTEMPTS && !type.isInstance(response); i++) {
      Thread.sleep(100);
      response = ask(request);
    }
    assertWithMessage(response.toString()).that(response).isInstanceOf(type);
    return type.cast(response);
  }

  private void configure() throws Exception {
    askUntil(configuration(3, "k1"), ScopeMessage.Done.class);
  }

  private static ScopeMessage.Configure configuration(long revision, String key) {
    return new ScopeMessage.Configure(new Revision(revision), revision + " " + key);
  }

  /** Parses a configuration whose text consists of its revision and an API key. */
  private static ScopeConfiguration parse(String content) {
    String[] words = content.split(" ");
    CustomerSpec customer = new CustomerSpec(new CustomerId("c"), List.of(words[1]), 8);
    return new ScopeConfiguration(
        new Revision(Long.parseLong(words[0])),
        List.of(queue("q"), queue("other")),
        List.of(customer),
        1_000);
  }

  private static QueueSpec queue(String name) {
    return new QueueSpec(
        new QueueName(name),
        "host",
        "/" + name + "/",
        new ServiceId("pool"),
        1,
        2,
        2.0,
        100,
        false);
  }

  private void sendHeartbeat() throws Exception {
    sendHeartbeat("w1", false);
  }

  private void sendHeartbeat(String name, boolean isDraining) throws Exception {
    WorkerInfo info =
        new WorkerInfo(
            new WorkerKey(new TargetId(name), 1),
            new HostPort("127.0.0.1", name.charAt(1)),
            new ServiceId("pool"),
            new FailureDomainId("d1"),
            new Resources(8_000, 8_000, 8),
            List.of("a", "r1"),
            "r1");
    askUntil(
        new ScopeMessage.Heartbeat(
            new WorkerHeartbeat(info, ++worker.sequence, isDraining, isDraining ? 20_000 : 0, 5)),
        ScopeMessage.Done.class);
  }

  private static JobSubmission job() {
    StepSpec step = StepSpec.builder(2).task(new Resources(1_000, 100, 1)).gang(true).build();
    return new JobSubmission("payload", List.of(step), Recurrence.NONE);
  }

  /** Stops all instances and restarts them from their stored state. */
  private void restartAll() throws Exception {
    instances.values().forEach(ScopeInstance::close);
    instances.clear();
    for (String host : HOSTS) {
      startInstance(host, false, Optional.of(folder.resolve(host)));
    }
    startInstance(ENTRY, false, Optional.empty());
  }

  private void awaitCompleted() throws Exception {
    awaitCompleted("w1");
  }

  private void awaitCompleted(String name) throws Exception {
    ScopeMessage.State state = null;
    for (int i = 0; i < MAX_ATTEMPTS; i++) {
      sendHeartbeat(name, false);
      state = askUntil(new ScopeMessage.AskState(JOB), ScopeMessage.State.class);
      if (state.status() == JobStatus.COMPLETED) {
        return;
      }
      Thread.sleep(100);
    }
    assertThat(state.status()).isEqualTo(JobStatus.COMPLETED);
  }

  @Test
  void jobIsExecutedThroughEntryInstance() throws Exception {
    configure();
    sendHeartbeat();
    askUntil(new ScopeMessage.Submit(JOB, job()), ScopeMessage.Done.class);
    awaitCompleted();
    assertThat(worker.started).containsAtLeast("00aa.0.0.0#1", "00aa.0.0.1#1");
  }

  @Test
  void refusalsNameTheirReason() throws Exception {
    configure();
    assertThat(ask(new ScopeMessage.AskState(new CallerAddress("host", "/x/1", "k1"))))
        .isEqualTo(new ScopeMessage.Refused(ScopeRefusal.NO_QUEUE));
    assertThat(ask(new ScopeMessage.Submit(new CallerAddress("host", "/q/1", "bad"), job())))
        .isEqualTo(new ScopeMessage.Refused(ScopeRefusal.UNKNOWN_KEY));
    assertThat(ask(new ScopeMessage.AskState(JOB)))
        .isEqualTo(new ScopeMessage.Refused(ScopeRefusal.UNKNOWN_JOB));
  }

  /** Guards against LOST: the second job was acknowledged and never stored. */
  @Test
  void idOfJobInAnotherQueueIsRefused() throws Exception {
    configure();
    askUntil(new ScopeMessage.Submit(JOB, job()), ScopeMessage.Done.class);
    CallerAddress sameId = new CallerAddress("host", "/other/00aa", "k1");
    assertThat(ask(new ScopeMessage.Submit(sameId, job())))
        .isEqualTo(new ScopeMessage.Refused(ScopeRefusal.ID_IN_USE));
    assertThat(ask(new ScopeMessage.Submit(JOB, job()))).isEqualTo(new ScopeMessage.Done());
  }

  /**
   * Guards against UNASKED: a submission that was delayed in transit arrived after the job's cancel
   * had been answered, and the job was accepted and started.
   */
  @ParameterizedTest
  @EnumSource(Disturbance.class)
  void jobStartsAlthoughItsCancelWasAnsweredBefore(Disturbance disturbance) throws Exception {
    configure();
    sendHeartbeat();
    assertThat(ask(new ScopeMessage.Cancel(JOB)))
        .isEqualTo(new ScopeMessage.Refused(ScopeRefusal.UNKNOWN_JOB));
    disturb(disturbance);
    ScopeMessage.Refused refused =
        askUntil(new ScopeMessage.Submit(JOB, job()), ScopeMessage.Refused.class);
    assertThat(refused.reason().name()).isEqualTo("CANCELLED");
    CallerAddress other = new CallerAddress("host", "/q/00ab", "k1");
    askUntil(new ScopeMessage.Submit(other, job()), ScopeMessage.Done.class);
    for (int i = 0; i < MAX_ATTEMPTS && worker.started.size() < 2; i++) {
      sendHeartbeat();
      Thread.sleep(20);
    }
    assertThat(worker.started).containsExactly("00ab.0.0.0#1", "00ab.0.0.1#1");
  }

  /** What happens between the cancel and the submission. */
  private enum Disturbance {
    NONE,
    LEADER_LOST,
    ALL_RESTARTED
  }

  private void disturb(Disturbance disturbance) throws Exception {
    if (disturbance == Disturbance.LEADER_LOST) {
      instances.remove(instances.get(ENTRY).client().leader().value()).close();
    } else if (disturbance == Disturbance.ALL_RESTARTED) {
      restartAll();
    }
    askUntil(new ScopeMessage.AskConfiguration(), ScopeMessage.Configuration.class);
  }

  @Test
  void acceptedJobAndConfigurationSurviveLeaderLoss() throws Exception {
    configure();
    askUntil(new ScopeMessage.Submit(JOB, job()), ScopeMessage.Done.class);
    InstanceId leader = instances.get(ENTRY).client().leader();
    instances.remove(leader.value()).close();
    ScopeMessage.Configuration found =
        askUntil(new ScopeMessage.AskConfiguration(), ScopeMessage.Configuration.class);
    assertThat(found.content()).isEqualTo("3 k1");
    askUntil(new ScopeMessage.Submit(JOB, job()), ScopeMessage.Done.class);
    awaitCompleted();
  }

  @Test
  void voterWithEmptyDiskIsReadmitted() throws Exception {
    configure();
    String leader = instances.get(ENTRY).client().leader().value();
    String lost = HOSTS.stream().filter(host -> !host.equals(leader)).findFirst().orElseThrow();
    instances.remove(lost).close();
    startInstance(lost, false, Optional.of(folder.resolve(lost + "-new")));
    awaitReadmission(lost);
    instances.remove(leader).close();
    askUntil(new ScopeMessage.Submit(JOB, job()), ScopeMessage.Done.class);
    awaitCompleted();
  }

  @Test
  void revokedKeyIsRefusedByEachInstanceAfterRestart() throws Exception {
    configure();
    askUntil(configuration(4, "k2"), ScopeMessage.Done.class);
    restartAll();
    askUntil(new ScopeMessage.AskConfiguration(), ScopeMessage.Configuration.class);
    for (ScopeInstance instance : instances.values()) {
      assertThat(
              instance.client().ask(new ScopeMessage.Submit(JOB, job()), REQUEST_TIMEOUT).block())
          .isEqualTo(new ScopeMessage.Refused(ScopeRefusal.UNKNOWN_KEY));
    }
    CallerAddress valid = new CallerAddress("host", "/q/00ab", "k2");
    askUntil(new ScopeMessage.Submit(valid, job()), ScopeMessage.Done.class);
  }

  @Test
  void drainingWorkerGetsNoWorkAfterRestartOfAllInstances() throws Exception {
    configure();
    sendHeartbeat("w1", false);
    sendHeartbeat("w1", true);
    restartAll();
    askUntil(new ScopeMessage.Submit(JOB, job()), ScopeMessage.Done.class);
    awaitCompleted("w2");
    assertThat(worker.startedAt).containsExactly(new TargetId("w2"));
  }

  /**
   * Waits until the instance that restarted with an empty store was removed as voter and
   * readmitted.
   */
  private void awaitReadmission(String host) throws Exception {
    InstanceId id = new InstanceId(host);
    boolean wasLearner = false;
    for (int i = 0; i < MAX_ATTEMPTS * 5; i++) {
      ScopeMessage.Leader found = askUntil(new ScopeMessage.AskLeader(), ScopeMessage.Leader.class);
      wasLearner |= !found.voters().contains(id);
      if (wasLearner && found.voters().contains(id)) {
        return;
      }
      Thread.sleep(5);
    }
    assertWithMessage("readmission of " + host).that(wasLearner).isTrue();
  }

  /** Worker that completes each run immediately and reports it at the next poll. */
  private static final class InstantWorker implements WorkerClient {

    private final List<String> started = new ArrayList<>();
    private final Set<TargetId> startedAt = new LinkedHashSet<>();
    private final List<PollResult.EndedEntry> ended = new ArrayList<>();
    private long sequence;
    private long number;

    @Override
    public synchronized Mono<StartReply> start(ScopeAction.Start request) {
      if (!started.contains(request.run().toString())) {
        started.add(request.run().toString());
        startedAt.add(request.worker().target());
        ended.add(
            new PollResult.EndedEntry(++number, new RunEnd(request.run(), RunOutcome.DONE, "")));
      }
      return Mono.just(new StartReply(StartResult.STARTED, 5));
    }

    @Override
    public Mono<StopResult> stop(ScopeAction.Stop request) {
      return Mono.just(StopResult.STOPPING);
    }

    @Override
    public synchronized Mono<PollResult> poll(ScopeAction.Poll request) {
      ended.removeIf(entry -> entry.number() <= request.lastEnd());
      PollResult response = new PollResult(PollResult.Kind.REPORT, 5, List.of(), ended);
      return Mono.just(response).delayElement(Duration.ofMillis(50));
    }
  }

  /** Guards against a delayed resend that repeats an evacuation after it was revoked. */
  @Test
  void delayedResendDoesNotUndoNewerOrder() throws Exception {
    final FailureDomainId domain = new FailureDomainId("d1");
    final ScopeClient client = instances.get(ENTRY).client();
    configure();
    final ScopeMessage.OrderPlace place =
        askUntil(new ScopeMessage.AskOrderPlace(domain), ScopeMessage.OrderPlace.class);
    assertThat(client.switchDomain(domain, true, REQUEST_TIMEOUT).block())
        .isInstanceOf(ScopeMessage.Done.class);
    assertThat(client.switchDomain(domain, false, REQUEST_TIMEOUT).block())
        .isInstanceOf(ScopeMessage.Done.class);
    assertThat(ask(new ScopeMessage.SwitchDomain(domain, true, place)))
        .isEqualTo(new ScopeMessage.Refused(ScopeRefusal.OVERTAKEN));
    assertThat(client.switchDomain(domain, true, REQUEST_TIMEOUT).block())
        .isInstanceOf(ScopeMessage.Done.class);
  }
}
