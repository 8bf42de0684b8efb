package org.primrosegauge.core.scope;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.IntConsumer;
import org.primrosegauge.core.CustomerId;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.HostPort;
import org.primrosegauge.core.JobId;
import org.primrosegauge.core.Revision;
import org.primrosegauge.core.ServiceId;
import org.primrosegauge.core.TargetId;
import org.primrosegauge.core.Term;
import org.primrosegauge.core.job.Resources;
import org.primrosegauge.core.scope.cfg.ScopeSettings;

/**
 * A scope in virtual time: the real ledger and scheduler, a log that commits after a delay, workers
 * that keep to their protocol, and a network that loses and delays. Watches what must hold.
 */
final class ScopeWorld {

  static final long STEP_MILLIS = 10;
  private static final String TRACED = System.getProperty("scope.trace");
  private static final long COMMIT_MILLIS = 10;

  /** Epoch of answers that nobody waits for any more. */
  private static final int NOBODY = -1;

  private static final long ANSWER_TIMEOUT_MILLIS = 500;
  private static final long HEARTBEAT_MILLIS = 1_500;
  private static final int WORKERS_PER_RACK = 3;
  static final Resources WORKER = new Resources(64_000, 256_000, 8);
  static final ServiceId POOL = new ServiceId("pool");

  private record Event(long at, long order, Runnable task) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Long.compare(at, other.at);
      return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
  }

  private record Waiting(SimulatedWorker worker, long until, int knownEnds, int epoch) {}

  private record Proposal(ScopeCommand command, long number) {}

  private final Random random;
  private final List<Proposal> proposals = new ArrayList<>();
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final boolean guards;
  final Map<String, SimulatedWorker> workers = new LinkedHashMap<>();
  private final Map<WorkerKey, Long> nextBeat = new HashMap<>();
  private final Map<Waiting, ScopeAction.Look> waiting = new LinkedHashMap<>();
  private final Set<String> cut = new HashSet<>();
  private final Map<JobId, ScopeJob> jobs = new LinkedHashMap<>();
  private final Map<JobId, Long> works = new HashMap<>();
  private final Set<JobId> poison = new HashSet<>();
  private final Map<StepKey, Integer> wholeAttempt = new HashMap<>();
  final ScopeChecker checker = new ScopeChecker(this);
  final ScopeLedger ledger = new ScopeLedger(1_000_000);
  private ScopeScheduler scheduler;
  private int epoch;
  private long term;
  long now = 10_000;
  private long order;
  double lostAnswers;
  double lateOrders;
  boolean isCalm = true;

  ScopeWorld(long seed, int workerCount, boolean guards) {
    this.random = new Random(seed);
    this.guards = guards;
    this.ledger.apply(new ScopeCommand.Configure(configuration(), "text"));
    for (int i = 0; i < workerCount; i++) {
      startWorker("w" + i, i);
    }
    changeLeader();
  }

  static ScopeConfiguration configuration() {
    List<QueueSpec> queues = new ArrayList<>();
    for (int priority = 0; priority < 3; priority++) {
      queues.add(
          new QueueSpec(
              new QueueName("q" + priority),
              "host",
              "/q" + priority + "/",
              POOL,
              priority,
              3,
              3.0,
              1_000,
              true));
    }
    CustomerSpec first = new CustomerSpec(new CustomerId("first"), List.of("k1"), 16);
    CustomerSpec second = new CustomerSpec(new CustomerId("second"), List.of("k2"), 8);
    return new ScopeConfiguration(new Revision(1), queues, List.of(first, second), 1_000);
  }

  // Workers

  private void startWorker(String name, int number) {
    WorkerInfo info =
        new WorkerInfo(
            new WorkerKey(new TargetId(name), now),
            new HostPort("10.0.0." + (number + 1), 80),
            POOL,
            new FailureDomainId("d" + number % 3),
            WORKER,
            List.of("a", "r" + number / WORKERS_PER_RACK),
            "r" + number / WORKERS_PER_RACK);
    double rate = 0.98 + 0.02 * random.nextDouble();
    workers.put(name, new SimulatedWorker(this, info, rate, guards));
    nextBeat.put(info.key(), now + random.nextInt(200));
  }

  void crash(String name, long downMillis) {
    SimulatedWorker worker = workers.remove(name);
    if (worker == null) {
      return;
    }
    for (SimulatedWorker.Run run : worker.runs.values()) {
      checker.gone(run, RunOutcome.WORKER_LOST);
    }
    int number = Integer.parseInt(name.substring(1));
    at(now + downMillis, () -> startWorker(name, number));
  }

  void cut(String name, long forMillis) {
    if (cut.add(name)) {
      at(now + forMillis, () -> cut.remove(name));
    }
  }

  void stall(String name, long forMillis) {
    SimulatedWorker worker = workers.get(name);
    if (worker != null) {
      worker.stalls = true;
      at(now + forMillis, () -> worker.stalls = false);
    }
  }

  void failAll(String name, long forMillis) {
    SimulatedWorker worker = workers.get(name);
    if (worker != null) {
      worker.failsAll = true;
      at(now + forMillis, () -> worker.failsAll = false);
    }
  }

  void drain(String name) {
    SimulatedWorker worker = workers.get(name);
    if (worker != null && !worker.drains) {
      worker.drains = true;
      nextBeat.put(worker.info.key(), now);
      at(now + 3_000, () -> crash(name, 2_000));
    }
  }

  // Leader

  /** Replaces the leader: what it had proposed may be lost, its orders on the way are not. */
  void changeLeader() {
    scheduler = null;
    settleProposals();
    epoch++;
    term++;
    scheduler = new ScopeScheduler(ledger, ScopeSettings.DEFAULT);
    waiting.keySet().removeIf(each -> each.epoch() != epoch);
    perform(scheduler.takeOffice(new Term(term), present()));
  }

  /** Leaves the scope without a leader for a while. */
  void loseLeader(long forMillis) {
    epoch++;
    scheduler = null;
    at(now + forMillis, this::changeLeader);
  }

  private Present present() {
    return new Present(now, now);
  }

  /** Prints what names the text given by the property {@code scope.trace}. */
  void trace(String what, Object subject) {
    String text = TRACED == null ? "" : subject.toString();
    if (TRACED != null && text.contains(TRACED)) {
      System.out.println(now + " epoch " + epoch + " " + what + " " + text);
    }
  }

  private void perform(List<ScopeAction> actions) {
    for (ScopeAction action : actions) {
      trace("action", action);
      if (action instanceof ScopeAction.Propose propose) {
        propose(propose.command());
      } else if (action instanceof ScopeAction.Start start) {
        int sentIn = epoch;
        send(in -> answerStart(start, in), () -> startLost(start, sentIn));
      } else if (action instanceof ScopeAction.Stop stop) {
        int sentIn = epoch;
        send(in -> answerStop(stop, in), () -> stopLost(stop, sentIn));
      } else if (action instanceof ScopeAction.Look look) {
        int sentIn = epoch;
        send(in -> receiveLook(look, in), () -> lookLost(look, sentIn));
      }
    }
  }

  private void propose(ScopeCommand command) {
    Proposal proposal = new Proposal(command, order++);
    proposals.add(proposal);
    at(
        now + COMMIT_MILLIS,
        () -> {
          if (proposals.remove(proposal)) {
            commit(command);
          }
        });
  }

  /** A new leader finds some of what was proposed before in its log; the rest never happens. */
  private void settleProposals() {
    for (Proposal proposal : List.copyOf(proposals)) {
      if (random.nextBoolean()) {
        commit(proposal.command());
      }
    }
    proposals.clear();
  }

  private void commit(ScopeCommand command) {
    trace("commit", command);
    ScopeResult result = ledger.apply(command);
    if (command instanceof ScopeCommand.Cancel cancel && result == ScopeResult.APPLIED) {
      checker.cancelled(cancel.job());
    }
    if (scheduler != null) {
      perform(scheduler.applied(command, present()));
    }
  }

  // Network

  /** Delivers an order soon; a late one gets no answer and is carried out seconds later. */
  private void send(IntConsumer delivery, Runnable lost) {
    int sentIn = epoch;
    if (random.nextDouble() < lateOrders) {
      at(now + 2_000 + random.nextInt(10_000), () -> delivery.accept(NOBODY));
      at(now + ANSWER_TIMEOUT_MILLIS, lost);
      return;
    }
    at(now + 1 + random.nextInt(4), () -> delivery.accept(sentIn));
  }

  private SimulatedWorker reach(WorkerKey key) {
    String name = key.target().value();
    return cut.contains(name) ? null : workers.get(name);
  }

  private void answer(int sentIn, boolean isAnswered, Consumer<ScopeScheduler> event) {
    long delay = !isAnswered ? ANSWER_TIMEOUT_MILLIS : 1 + random.nextInt(4);
    at(
        now + delay,
        () -> {
          if (scheduler != null && sentIn == epoch) {
            event.accept(scheduler);
          }
        });
  }

  private void startLost(ScopeAction.Start order, int sentIn) {
    if (sentIn == epoch && scheduler != null) {
      perform(scheduler.startAnswered(order.run(), StartAnswer.NO_ANSWER, 0, present()));
    }
  }

  private void stopLost(ScopeAction.Stop order, int sentIn) {
    if (sentIn == epoch && scheduler != null) {
      perform(scheduler.stopAnswered(order.run(), StopAnswer.NO_ANSWER, present()));
    }
  }

  private void lookLost(ScopeAction.Look order, int sentIn) {
    if (sentIn == epoch && scheduler != null) {
      LookAnswer none = LookAnswer.without(LookAnswer.Kind.NO_ANSWER);
      perform(scheduler.lookAnswered(order.worker(), none, present()));
    }
  }

  private void answerStart(ScopeAction.Start order, int sentIn) {
    SimulatedWorker worker = reach(order.worker());
    StartAnswer answer = worker == null ? StartAnswer.NO_ANSWER : worker.start(order, now);
    long clock = worker == null ? 0 : worker.clock(now);
    boolean isAnswered = worker != null && random.nextDouble() >= lostAnswers;
    answer(
        sentIn,
        isAnswered,
        leader ->
            perform(
                leader.startAnswered(
                    order.run(),
                    isAnswered ? answer : StartAnswer.NO_ANSWER,
                    isAnswered ? clock : 0,
                    present())));
  }

  private void answerStop(ScopeAction.Stop order, int sentIn) {
    SimulatedWorker worker = reach(order.worker());
    StopAnswer answer = worker == null ? StopAnswer.NO_ANSWER : worker.stop(order, now);
    boolean isAnswered = worker != null && random.nextDouble() >= lostAnswers;
    answer(
        sentIn,
        isAnswered,
        leader ->
            perform(
                leader.stopAnswered(
                    order.run(), isAnswered ? answer : StopAnswer.NO_ANSWER, present())));
  }

  private void receiveLook(ScopeAction.Look order, int sentIn) {
    SimulatedWorker worker = reach(order.worker());
    if (worker == null) {
      answerLook(order, sentIn, LookAnswer.without(LookAnswer.Kind.NO_ANSWER));
    } else if (!worker.info.key().equals(order.worker())) {
      answerLook(order, sentIn, LookAnswer.without(LookAnswer.Kind.OTHER_LIFETIME));
    } else if (!worker.admit(order, now)) {
      answerLook(order, sentIn, LookAnswer.without(LookAnswer.Kind.FENCED));
    } else {
      waiting.put(
          new Waiting(worker, now + order.waitMillis(), worker.ended.size(), sentIn), order);
    }
  }

  private void answerLook(ScopeAction.Look order, int sentIn, LookAnswer answer) {
    boolean isAnswered =
        answer.kind() != LookAnswer.Kind.NO_ANSWER && random.nextDouble() >= lostAnswers;
    answer(
        sentIn,
        isAnswered,
        leader ->
            perform(
                leader.lookAnswered(
                    order.worker(),
                    isAnswered ? answer : LookAnswer.without(LookAnswer.Kind.NO_ANSWER),
                    present())));
  }

  private void answerWaiting() {
    for (Map.Entry<Waiting, ScopeAction.Look> each : List.copyOf(waiting.entrySet())) {
      SimulatedWorker worker = each.getKey().worker();
      boolean isDue = now >= each.getKey().until() || !worker.ended.isEmpty();
      boolean isThere = workers.get(worker.info.key().target().value()) == worker;
      if (!isThere || isDue) {
        waiting.remove(each.getKey());
        boolean isCut = cut.contains(worker.info.key().target().value());
        LookAnswer answer =
            isThere && !isCut ? worker.report(now) : LookAnswer.without(LookAnswer.Kind.NO_ANSWER);
        answerLook(each.getValue(), each.getKey().epoch(), answer);
      }
    }
  }

  // Callers

  void submit(String id, int priority, String customer, List<StepSpec> steps, long workMillis) {
    ScopeJob job =
        new ScopeJob(
            new JobId(id),
            new QueueName("q" + priority),
            POOL,
            customer == null ? null : new CustomerId(customer),
            3,
            now,
            "payload " + id,
            steps,
            Recurrence.NONE);
    jobs.put(job.id(), job);
    works.put(job.id(), workMillis);
    handIn(job);
  }

  /** A caller hands its job in again until it is accepted. */
  private void handIn(ScopeJob job) {
    if (ledger.job(job.id()).isEmpty()) {
      propose(new ScopeCommand.Submit(job));
      at(now + 1_000, () -> handIn(job));
    }
  }

  void poison(String id) {
    poison.add(new JobId(id));
  }

  void cancel(String id) {
    propose(new ScopeCommand.Cancel(new JobId(id), now));
  }

  void switchDomain(String domain, boolean out) {
    propose(new ScopeCommand.SwitchDomain(new FailureDomainId(domain), out));
  }

  JobStatus status(String id) {
    return ledger.job(new JobId(id)).map(JobEntry::status).orElse(null);
  }

  // Time

  void at(long when, Runnable task) {
    events.add(new Event(when, order++, task));
  }

  void run(long millis) {
    long end = now + millis;
    while (now < end) {
      now += STEP_MILLIS;
      while (!events.isEmpty() && events.peek().at() <= now) {
        events.poll().task().run();
      }
      for (SimulatedWorker worker : List.copyOf(workers.values())) {
        beat(worker);
        worker.advance(now, STEP_MILLIS);
      }
      answerWaiting();
      if (scheduler != null) {
        perform(scheduler.tick(present()));
      }
    }
  }

  private void beat(SimulatedWorker worker) {
    WorkerKey key = worker.info.key();
    boolean isDue = now >= nextBeat.getOrDefault(key, 0L);
    if (isDue && scheduler != null && !cut.contains(key.target().value())) {
      nextBeat.put(key, now + HEARTBEAT_MILLIS);
      perform(scheduler.workerReported(worker.status(now), present()));
    }
  }

  // What workers ask of the world

  StepSpec specOf(TaskKey task) {
    return jobs.get(task.job()).steps().get(task.step());
  }

  long workOf(TaskKey task) {
    return works.get(task.job());
  }

  boolean isPoison(JobId job) {
    return poison.contains(job);
  }

  private boolean isThere(RunId id) {
    return workers.values().stream().anyMatch(worker -> worker.runs.containsKey(id));
  }

  boolean isGangPresent(SimulatedWorker.Run run) {
    StepKey step = run.id.task().stepKey();
    boolean isWhole = true;
    for (int i = 0; i < run.spec.count() && isWhole; i++) {
      isWhole = isThere(new RunId(step.task(i), run.id.attempt()));
    }
    if (isWhole) {
      wholeAttempt.put(step, run.id.attempt());
    }
    return isWhole;
  }

  boolean wasGangWhole(SimulatedWorker.Run run) {
    return wholeAttempt.getOrDefault(run.id.task().stepKey(), 0) == run.id.attempt();
  }

  boolean hasGangMemberEnded(SimulatedWorker.Run run) {
    StepKey step = run.id.task().stepKey();
    for (int i = 0; i < run.spec.count(); i++) {
      if (checker.hasEnded(new RunId(step.task(i), run.id.attempt()))) {
        return true;
      }
    }
    return false;
  }

  /** Ends a run as done, with all members of its gang. */
  void done(SimulatedWorker.Run run) {
    int count = run.spec.gang() ? run.spec.count() : 1;
    for (int i = 0; i < count; i++) {
      TaskKey task = run.spec.gang() ? run.id.task().stepKey().task(i) : run.id.task();
      RunId id = new RunId(task, run.id.attempt());
      for (SimulatedWorker worker : workers.values()) {
        if (worker.runs.containsKey(id)) {
          worker.end(worker.runs.get(id), RunOutcome.DONE);
        }
      }
    }
  }
}
