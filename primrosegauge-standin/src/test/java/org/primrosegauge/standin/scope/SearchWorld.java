package org.primrosegauge.standin.scope;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.primrosegauge.core.CustomerId;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.JobId;
import org.primrosegauge.core.Revision;
import org.primrosegauge.core.ServiceId;
import org.primrosegauge.core.job.Resources;
import org.primrosegauge.core.scope.CustomerSpec;
import org.primrosegauge.core.scope.QueueName;
import org.primrosegauge.core.scope.QueueSpec;
import org.primrosegauge.core.scope.Recurrence;
import org.primrosegauge.core.scope.ScopeCommand;
import org.primrosegauge.core.scope.ScopeConfiguration;
import org.primrosegauge.core.scope.ScopeJob;
import org.primrosegauge.core.scope.StepSpec;

/** What callers and operators of a searched sequence know, and what they do. */
final class SearchWorld {

  static final int WORKERS = 8;
  static final int MAX_ATTEMPTS = 3;
  static final ServiceId OTHER_POOL = new ServiceId("other");
  static final Resources CAPACITY = new Resources(64_000, 256_000, 8);

  static final String HOST = "host";
  private static final int OTHER_POOL_FROM = 6;
  private static final int POOL_ACCELERATORS = 48;
  private static final int DOMAINS = 3;
  private static final long START_MILLIS = 6_000;
  private static final long LONG_MILLIS = 10_000_000;
  private static final long SECOND = 1_000;

  /** One of this many jobs fails whenever it runs. */
  private static final int FAILING_SHARE = 15;

  /** A job as its caller has submitted it, with the address of its queue. */
  record Submitted(ScopeJob job, String prefix) {}

  final EmulatedScope scope;
  final SearchJudge judge;
  final Map<JobId, Submitted> submitted = new LinkedHashMap<>();

  /** Services that each path prefix has had. */
  final Map<String, Set<ServiceId>> services = new HashMap<>();

  /** Service that each path prefix had last. */
  final Map<String, ServiceId> latestService = new HashMap<>();

  private final List<QueueSpec> queues = new ArrayList<>();
  private final List<QueueSpec> dropped = new ArrayList<>();
  private final Map<String, Integer> guarantees = new HashMap<>(Map.of("first", 16, "second", 8));
  private long revision = 1;
  private int names;

  /** Time of the latest trouble of the leader, in milliseconds. */
  long leaderTroubleMillis;

  SearchWorld(long seed) {
    scope = new EmulatedScope(seed, WORKERS, true);
    scope.isCalm = false;
    drawPace(new Random(~seed));
    queues.addAll(scope.ledger.configuration().queues());
    queues.forEach(this::noteService);
    judge = new SearchJudge(this);
    scope.observer = judge;
    for (int i = OTHER_POOL_FROM; i < WORKERS; i++) {
      scope.replace("w" + i, new EmulatedKind(OTHER_POOL, CAPACITY, "a"), SECOND);
    }
    scope.run(START_MILLIS);
  }

  /** Draws how often the leader plans, and how slow the network is. */
  private void drawPace(Random draw) {
    scope.planPauseMillis = draw.nextInt(4) * 25;
    scope.network.slowestMillis = 4 + draw.nextInt(3) * 30;
  }

  // Callers

  void submit(Random draw) {
    List<StepSpec> steps = new ArrayList<>();
    List<Long> work = new ArrayList<>();
    int count = 1 + draw.nextInt(3);
    for (int i = 0; i < count; i++) {
      long millis = 100 + draw.nextInt(4_000);
      steps.add(step(draw, millis, i).build());
      work.add(millis);
    }
    handIn(draw, steps, work, Recurrence.NONE);
  }

  void submitLasting(Random draw) {
    boolean endsByItself = draw.nextInt(3) == 0;
    long millis = endsByItself ? 3_000 + draw.nextInt(4_000) : LONG_MILLIS;
    StepSpec.Builder step = step(draw, SECOND, 0).longRunning(true).maxUnavailable(1);
    if (endsByItself) {
      step.checkpoints(false);
    }
    handIn(draw, List.of(step.build()), List.of(millis), Recurrence.NONE);
  }

  void submitSchedule(Random draw) {
    long millis = 100 + draw.nextInt(2_000);
    long start = scope.now - 20 * SECOND + draw.nextInt(30) * SECOND;
    if (draw.nextInt(10) == 0) {
      start = Recurrence.MAX_DUE_MILLIS / 2;
    }
    Recurrence times =
        new Recurrence(Math.max(1, start), draw.nextInt(2_000), 1 + draw.nextInt(20));
    handIn(draw, List.of(step(draw, millis, 0).build()), List.of(millis), times);
  }

  /** A job that no worker can run: no worker has its label, or as many accelerators. */
  void submitImpossible(Random draw) {
    StepSpec.Builder step = StepSpec.builder(1 + draw.nextInt(100)).estimatedMillis(1_000);
    step = draw.nextBoolean() ? step.requiredLabel("none") : step.task(new Resources(10, 10, 9));
    handIn(draw, List.of(step.build()), List.of(1_000L), Recurrence.NONE);
  }

  /** Many jobs at once, of all sizes. */
  void burst(Random draw) {
    int count = 2 + draw.nextInt(10);
    for (int i = 0; i < count; i++) {
      submit(draw);
    }
  }

  private static StepSpec.Builder step(Random draw, long millis, int number) {
    int accelerators = draw.nextInt(3) == 0 ? 0 : 1 << draw.nextInt(4);
    Resources task =
        new Resources(
            10 + draw.nextInt(7_500 * Math.max(1, accelerators)),
            10 + draw.nextInt(30_000 * Math.max(1, accelerators)),
            accelerators);
    int count = 1 + draw.nextInt(draw.nextInt(8) == 0 ? 200 : 8);
    return StepSpec.builder(count)
        .task(task)
        .estimatedMillis(Math.max(1, millis / 2 + draw.nextInt((int) millis)))
        .gang(draw.nextInt(3) == 0)
        .rackLocal(draw.nextInt(5) == 0)
        .checkpoints(draw.nextBoolean())
        .requiredLabel(draw.nextInt(6) == 0 ? List.of("a", "r0", "r1").get(draw.nextInt(3)) : "")
        .dataRack(draw.nextInt(5) == 0 ? "r" + draw.nextInt(3) : "")
        .maxPerWorker(draw.nextInt(5) == 0 ? 1 + draw.nextInt(3) : 0)
        .speculative(draw.nextInt(10) == 0)
        .dependsOn(number == 0 ? List.of() : List.of(draw.nextInt(number)));
  }

  private void handIn(Random draw, List<StepSpec> steps, List<Long> work, Recurrence times) {
    QueueSpec queue = queues.get(draw.nextInt(queues.size()));
    ScopeJob job =
        new ScopeJob(
            new JobId("job" + submitted.size()),
            queue.name(),
            queue.pool(),
            new CustomerId(draw.nextBoolean() ? "first" : "second"),
            MAX_ATTEMPTS,
            scope.now,
            "payload job" + submitted.size(),
            steps,
            times);
    if (draw.nextInt(FAILING_SHARE) == 0) {
      scope.poison(job.id().value());
    }
    submitted.put(job.id(), new Submitted(job, queue.pathPrefix()));
    scope.submit(job, work);
  }

  /** Submits an earlier job once more. */
  void repeat(Random draw) {
    if (!submitted.isEmpty()) {
      scope.callers.hand(any(draw).job());
    }
  }

  void cancel(Random draw) {
    if (!submitted.isEmpty()) {
      cancelJob(any(draw).job());
    }
  }

  /** Cancels a job whose submission is still under way. */
  void cancelBeforeSubmission(Random draw) {
    QueueSpec queue = queues.get(draw.nextInt(queues.size()));
    CustomerId customer = new CustomerId("first");
    String id = "early" + draw.nextInt(1_000_000);
    StepSpec step = step(draw, SECOND, 0).build();
    ScopeJob job =
        new ScopeJob(
            new JobId(id),
            queue.name(),
            queue.pool(),
            customer,
            MAX_ATTEMPTS,
            scope.now,
            "payload " + id,
            List.of(step),
            Recurrence.NONE);
    submitted.putIfAbsent(job.id(), new Submitted(job, queue.pathPrefix()));
    scope.callers.prepare(job, List.of(SECOND));
    cancelJob(job);
    scope.at(scope.now + draw.nextInt(4_000), () -> scope.submit(job, List.of(SECOND)));
  }

  private void cancelJob(ScopeJob job) {
    Submitted known = submitted.get(job.id());
    queues.stream()
        .filter(queue -> queue.pathPrefix().equals(known.prefix()))
        .findFirst()
        .ifPresent(
            queue -> {
              judge.cancelSent(job.id());
              scope.leader.ask(
                  new ScopeCommand.Cancel(job.id(), scope.now, queue.name(), job.customer()));
            });
  }

  private Submitted any(Random draw) {
    return List.copyOf(submitted.values()).get(draw.nextInt(submitted.size()));
  }

  // Operators

  void renameQueue(Random draw) {
    int index = draw.nextInt(queues.size());
    QueueSpec old = queues.get(index);
    queues.set(index, queue(newName(), old.pathPrefix(), old.pool(), old.priority()));
    configure();
  }

  void moveQueue(Random draw) {
    int index = draw.nextInt(queues.size());
    QueueSpec old = queues.get(index);
    ServiceId pool = old.pool().equals(OTHER_POOL) ? EmulatedScope.POOL : OTHER_POOL;
    queues.set(index, queue(old.name(), old.pathPrefix(), pool, old.priority()));
    configure();
  }

  /** Drops a queue, or brings one back under a new name. */
  void dropQueue(Random draw) {
    if (!dropped.isEmpty() && draw.nextBoolean() || queues.size() == 1) {
      QueueSpec back = dropped.remove(draw.nextInt(dropped.size()));
      QueueName name = draw.nextBoolean() ? newName() : back.name();
      queues.add(queue(name, back.pathPrefix(), back.pool(), back.priority()));
    } else {
      dropped.add(queues.remove(draw.nextInt(queues.size())));
    }
    configure();
  }

  void changeQueue(Random draw) {
    int index = draw.nextInt(queues.size());
    QueueSpec old = queues.get(index);
    queues.set(index, queue(old.name(), old.pathPrefix(), old.pool(), draw.nextInt(3)));
    configure();
  }

  void changeGuarantees(Random draw) {
    int first = draw.nextInt(POOL_ACCELERATORS + 1);
    guarantees.put("first", first);
    guarantees.put("second", POOL_ACCELERATORS - first);
    configure();
  }

  void switchDomain(Random draw, boolean isOut) {
    String domain = "d" + draw.nextInt(DOMAINS);
    if (!isOut) {
      judge.domainBack(new FailureDomainId(domain));
    }
    scope.switchDomain(domain, isOut);
  }

  /** Returns the queues as the operators have them. */
  List<QueueSpec> queues() {
    return queues;
  }

  private QueueName newName() {
    return new QueueName("n" + names++);
  }

  private static QueueSpec queue(QueueName name, String prefix, ServiceId pool, int priority) {
    return new QueueSpec(name, HOST, prefix, pool, priority, MAX_ATTEMPTS, 3.0, 1_000, true);
  }

  private void configure() {
    queues.forEach(this::noteService);
    List<CustomerSpec> customers =
        List.of(
            new CustomerSpec(new CustomerId("first"), List.of("k1"), guarantees.get("first")),
            new CustomerSpec(new CustomerId("second"), List.of("k2"), guarantees.get("second")));
    ScopeConfiguration configuration =
        new ScopeConfiguration(new Revision(++revision), List.copyOf(queues), customers, 1_000);
    askUntilInForce(configuration);
  }

  private void askUntilInForce(ScopeConfiguration configuration) {
    Revision held = scope.ledger.configuration().revision();
    if (held.compareTo(configuration.revision()) < 0) {
      scope.leader.ask(new ScopeCommand.Configure(configuration, "text"));
      scope.at(scope.now + SECOND, () -> askUntilInForce(configuration));
    }
  }

  private void noteService(QueueSpec queue) {
    services.computeIfAbsent(queue.pathPrefix(), prefix -> new HashSet<>()).add(queue.pool());
    latestService.put(queue.pathPrefix(), queue.pool());
  }

  // Troubles

  void changeLeader() {
    leaderTroubleMillis = scope.now;
    scope.changeLeader();
  }

  void loseLeader(long forMillis) {
    leaderTroubleMillis = Math.max(leaderTroubleMillis, scope.now + forMillis);
    scope.loseLeader(forMillis);
  }

  void loseAnswers(Random draw) {
    scope.network.lostAnswers = draw.nextInt(20) / 100.0;
    scope.at(scope.now + draw.nextInt(6_000), () -> scope.network.lostAnswers = 0);
  }

  /** Takes all domains back into service. */
  void endTroubles() {
    for (int domain = 0; domain < DOMAINS; domain++) {
      judge.domainBack(new FailureDomainId("d" + domain));
      scope.switchDomain("d" + domain, false);
    }
  }
}
