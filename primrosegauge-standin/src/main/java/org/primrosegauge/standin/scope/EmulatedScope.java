package org.primrosegauge.standin.scope;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.SplittableRandom;
import org.primrosegauge.core.CustomerId;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.HostPort;
import org.primrosegauge.core.JobId;
import org.primrosegauge.core.Revision;
import org.primrosegauge.core.ServiceId;
import org.primrosegauge.core.TargetId;
import org.primrosegauge.core.job.Resources;
import org.primrosegauge.core.scope.CustomerSpec;
import org.primrosegauge.core.scope.JobEntry;
import org.primrosegauge.core.scope.JobStatus;
import org.primrosegauge.core.scope.QueueName;
import org.primrosegauge.core.scope.QueueSpec;
import org.primrosegauge.core.scope.Recurrence;
import org.primrosegauge.core.scope.RunId;
import org.primrosegauge.core.scope.RunOutcome;
import org.primrosegauge.core.scope.ScopeCommand;
import org.primrosegauge.core.scope.ScopeConfiguration;
import org.primrosegauge.core.scope.ScopeJob;
import org.primrosegauge.core.scope.ScopeLedger;
import org.primrosegauge.core.scope.ScopeSnapshot;
import org.primrosegauge.core.scope.StepSpec;
import org.primrosegauge.core.scope.WorkerHeartbeat;
import org.primrosegauge.core.scope.WorkerInfo;
import org.primrosegauge.core.scope.WorkerKey;
import org.primrosegauge.core.scope.cfg.ScopeSettings;

/**
 * A scope in virtual time: the real ledger and scheduler, a log that commits after a delay, workers
 * that keep to their protocol, and a network that loses and delays. Watches what must hold.
 *
 * <p>Not thread-safe. Life-cycle: create it, then submit jobs, cause trouble and let time pass with
 * {@link #run}, in any order.
 *
 * @since 0.3
 */
public final class EmulatedScope {

  static final long STEP_MILLIS = 10;
  private static final long RETENTION_MILLIS = 1_000_000;
  private static final int MAX_ATTEMPTS = 3;

  /** Time that a draining worker announces at most. */
  private static final long DRAIN_MILLIS = 2_000;

  static final ServiceId POOL = new ServiceId("pool");

  private final Random random;
  private final Timeline timeline = new Timeline();
  private final EmulatedFleet fleet;
  final Map<String, EmulatedWorker> workers = new LinkedHashMap<>();
  private final Map<HostPort, String> namesByAddress = new HashMap<>();
  final EmulatedNetwork network;
  final ScopeChecker checker = new ScopeChecker(this);
  final EmulatedGangs gangs = new EmulatedGangs(this);
  final WorkMeter meter = new WorkMeter();
  final ScopeLedger ledger = new ScopeLedger(RETENTION_MILLIS);
  final EmulatedCallers callers = new EmulatedCallers(this);
  final EmulatedLeader leader;
  private final EmulatedHeartbeats heartbeats = new EmulatedHeartbeats(this);
  private final Map<String, EmulatedKind> kinds = new HashMap<>();
  long now = 10_000;

  /** Told of what workers and the log do, after the checker. */
  ScopeObserver observer = new ScopeObserver() {};

  /** Shortest time between two passes of the planner; 0 plans after each event. */
  long planPauseMillis;

  boolean isCalm = true;

  /** Creates a scope with a small fleet, three queues and two customers. */
  EmulatedScope(long seed, int workerCount, boolean guards) {
    this(seed, EmulatedFleet.small(workerCount, guards), configuration());
  }

  /** Creates the same with other settings of its scheduler. */
  EmulatedScope(long seed, int workerCount, ScopeSettings settings) {
    this(seed, EmulatedFleet.small(workerCount, true), configuration(), EventCost.NONE, settings);
  }

  /**
   * Creates a scope whose workers start at once.
   *
   * @since 0.3
   */
  public EmulatedScope(long seed, EmulatedFleet fleet, ScopeConfiguration configuration) {
    this(seed, fleet, configuration, EventCost.NONE);
  }

  /**
   * Creates a scope whose workers start at once, and whose leader takes time for what it does.
   *
   * @since 0.3
   */
  public EmulatedScope(
      long seed, EmulatedFleet fleet, ScopeConfiguration configuration, EventMeter cost) {
    this(seed, fleet, configuration, cost, ScopeSettings.DEFAULT);
  }

  /**
   * Creates a scope whose workers start at once, with settings of its scheduler.
   *
   * @since 0.4
   */
  public EmulatedScope(
      long seed,
      EmulatedFleet fleet,
      ScopeConfiguration configuration,
      EventMeter cost,
      ScopeSettings settings) {
    this.random = new Random(seed);
    this.network = new EmulatedNetwork(this, random);
    this.fleet = fleet;
    this.ledger.apply(new ScopeCommand.Configure(configuration, "text"));
    this.leader = new EmulatedLeader(this, random, cost, settings);
    for (int i = 0; i < fleet.workers(); i++) {
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
    EmulatedKind kind = kinds.getOrDefault(name, new EmulatedKind(POOL, fleet.capacity(), "a"));
    WorkerInfo info =
        new WorkerInfo(
            new WorkerKey(new TargetId(name), now),
            new HostPort("10.0.0." + (number + 1), 80),
            kind.pool(),
            new FailureDomainId("d" + number % fleet.domains()),
            kind.capacity(),
            List.of(kind.label(), rackOf(number)),
            rackOf(number));
    namesByAddress.put(info.address(), name);
    double rate = 0.98 + 0.02 * random.nextDouble();
    workers.put(name, new EmulatedWorker(this, info, rate, fleet.guards()));
    heartbeats.schedule(info.key(), now + random.nextInt(200));
  }

  private String rackOf(int worker) {
    return "r" + worker / fleet.workersPerRack();
  }

  /** Returns the worker at an address; null if there is none. */
  EmulatedWorker workerAt(HostPort address) {
    String name = namesByAddress.get(address);
    return name == null ? null : workers.get(name);
  }

  /** Lets a heartbeat of another writer reach the leader. */
  void hear(WorkerHeartbeat foreign) {
    heartbeats.deliver(foreign);
  }

  /**
   * Ends a worker without notice; it starts again empty, as a new lifetime.
   *
   * @since 0.3
   */
  public void crash(String name, long downMillis) {
    if (remove(name)) {
      int number = Integer.parseInt(name.substring(1));
      at(now + downMillis, () -> startWorker(name, number));
    }
  }

  /** Ends a worker without notice; at its place and address another kind of worker starts. */
  void replace(String name, EmulatedKind kind, long downMillis) {
    kinds.put(name, kind);
    crash(name, downMillis);
  }

  private boolean remove(String name) {
    EmulatedWorker worker = workers.remove(name);
    if (worker == null) {
      return false;
    }
    for (EmulatedWorker.Run run : worker.runs.values()) {
      gangs.gone(run);
      checker.gone(run, RunOutcome.WORKER_LOST);
      observer.ended(worker, run, RunOutcome.WORKER_LOST);
    }
    observer.endsLost(worker);
    return true;
  }

  /**
   * Makes all that runs on a worker slower for a while.
   *
   * @param factor how many times as long everything takes
   * @since 0.3
   */
  public void slowDown(String name, int factor, long forMillis) {
    EmulatedWorker worker = workers.get(name);
    if (worker != null) {
      worker.slowness = factor;
      at(now + forMillis, () -> worker.slowness = 1);
    }
  }

  /**
   * Cuts a worker off for a while; it runs on.
   *
   * @since 0.3
   */
  public void cut(String name, long forMillis) {
    network.cut(name, forMillis);
  }

  /**
   * Lets a share of the orders to workers be carried out seconds late and without a response, for a
   * while.
   *
   * @since 0.4
   */
  public void delayOrders(double share, long forMillis) {
    network.lateOrders = share;
    at(now + forMillis, () -> network.lateOrders = 0);
  }

  /**
   * Lets all tasks of a worker stand still for a while; its heartbeats go on.
   *
   * @since 0.3
   */
  public void stall(String name, long forMillis) {
    EmulatedWorker worker = workers.get(name);
    if (worker != null) {
      worker.stalls = true;
      at(now + forMillis, () -> worker.stalls = false);
    }
  }

  /**
   * Lets all tasks fail that a worker starts during a while.
   *
   * @since 0.3
   */
  public void failAll(String name, long forMillis) {
    EmulatedWorker worker = workers.get(name);
    if (worker != null) {
      worker.failsAll = true;
      at(now + forMillis, () -> worker.failsAll = false);
    }
  }

  /** Lets a worker reject each start for a while, without any effect. */
  void rejectStarts(String name, long forMillis) {
    EmulatedWorker worker = workers.get(name);
    if (worker != null) {
      worker.rejectsStarts = true;
      at(now + forMillis, () -> worker.rejectsStarts = false);
    }
  }

  void drain(String name) {
    drain(name, 3_000);
  }

  /**
   * Lets a worker say that it leaves, and end some time later without another word.
   *
   * @since 0.3
   */
  public void drain(String name, long staysMillis) {
    if (announceExit(name, Math.min(staysMillis, DRAIN_MILLIS))) {
      at(now + staysMillis, () -> crash(name, 2_000));
    }
  }

  /**
   * Takes a worker away for good, at short notice.
   *
   * @param noticeMillis time from its announcement to its end, in milliseconds
   * @since 0.4
   */
  public void takeAway(String name, long noticeMillis) {
    if (announceExit(name, noticeMillis)) {
      at(now + noticeMillis, () -> remove(name));
    }
  }

  /** Lets a worker announce that it drains; returns false if it has before. */
  private boolean announceExit(String name, long remainingMillis) {
    EmulatedWorker worker = workers.get(name);
    if (worker == null || worker.drains) {
      return false;
    }
    worker.drains = true;
    worker.drainEndMillis = now + remainingMillis;
    heartbeats.schedule(worker.info.key(), now);
    return true;
  }

  // Leader

  /** Replaces the leader: what it had proposed may be lost, its orders on the way are not. */
  void changeLeader() {
    leader.change();
  }

  /**
   * Leaves the scope without a leader for a while.
   *
   * @since 0.3
   */
  public void loseLeader(long forMillis) {
    leader.lose(forMillis);
  }

  // Callers

  void submit(String id, int priority, String customer, List<StepSpec> steps, long workMillis) {
    ScopeJob job =
        new ScopeJob(
            new JobId(id),
            new QueueName("q" + priority),
            POOL,
            customer == null ? null : new CustomerId(customer),
            MAX_ATTEMPTS,
            now,
            "payload " + id,
            steps,
            Recurrence.NONE);
    submit(job, steps.stream().map(step -> workMillis).toList());
  }

  /**
   * Hands a job in, at present.
   *
   * @param job job; its payload is "payload " and its id
   * @param workMillis how long a task of each step takes, in milliseconds
   * @since 0.3
   */
  public void submit(ScopeJob job, List<Long> workMillis) {
    callers.submit(job, workMillis);
  }

  /**
   * Makes every run of a job fail.
   *
   * @since 0.3
   */
  public void poison(String id) {
    callers.fail(new JobId(id));
  }

  /**
   * Cancels a job.
   *
   * @since 0.3
   */
  public void cancel(String id) {
    leader.ask(new ScopeCommand.Cancel(new JobId(id), now));
  }

  /**
   * Takes a failure domain out of service, or back into it.
   *
   * @since 0.4
   */
  public void switchDomain(String domain, boolean out) {
    leader.ask(new ScopeCommand.SwitchDomain(new FailureDomainId(domain), out));
  }

  JobStatus statusOf(String id) {
    return ledger.job(new JobId(id)).map(JobEntry::status).orElse(null);
  }

  // Accessors

  EmulatedFleet fleet() {
    return fleet;
  }

  /**
   * Returns the present, in milliseconds.
   *
   * @since 0.3
   */
  public long nowMillis() {
    return now;
  }

  /**
   * Returns when a job ended, in milliseconds; empty while it goes on.
   *
   * @since 0.3
   */
  public OptionalLong finishedMillis(JobId job) {
    return leader.finishedMillis(job);
  }

  /**
   * Returns when the first task of a job began, in milliseconds; empty before.
   *
   * @since 0.3
   */
  public OptionalLong begunMillis(JobId job) {
    Long at = checker.firstBegin.get(job);
    return at == null ? OptionalLong.empty() : OptionalLong.of(at);
  }

  /**
   * Returns how a job stands; empty before it is accepted.
   *
   * @since 0.3
   */
  public Optional<JobStatus> status(JobId job) {
    return ledger.job(job).map(JobEntry::status);
  }

  /**
   * Returns how many tasks of a step fit into what is free on the workers now.
   *
   * @since 0.3
   */
  public int roomFor(StepSpec step) {
    int room = 0;
    for (EmulatedWorker worker : workers.values()) {
      Resources free = worker.info.capacity().minus(worker.used());
      int here = 0;
      while (step.task().fitsIn(free) && (step.maxPerWorker() == 0 || here < step.maxPerWorker())) {
        free = free.minus(step.task());
        here++;
      }
      room += here;
    }
    return room;
  }

  /**
   * Returns the work done and lost so far.
   *
   * @since 0.3
   */
  public WorkMeter meter() {
    return meter;
  }

  /**
   * Returns what was seen of the leader's thread so far; nothing when events take no time.
   *
   * @since 0.3
   */
  public ThreadFigures threadFigures() {
    return leader.threadFigures();
  }

  /**
   * Returns how many heartbeats were not acknowledged in time.
   *
   * @since 0.3
   */
  public int lostHeartbeats() {
    return heartbeats.lost();
  }

  /**
   * Returns how many runs were placed so far.
   *
   * @since 0.3
   */
  public int placements() {
    return leader.placements();
  }

  /**
   * Returns the committed state as it is now.
   *
   * @since 0.3
   */
  public ScopeSnapshot snapshot() {
    return ledger.snapshot();
  }

  /**
   * Returns how many runs have ended in a way.
   *
   * @since 0.3
   */
  public int runsEnded(RunOutcome outcome) {
    return checker.counts.getOrDefault(outcome, 0);
  }

  /**
   * Returns what was seen that must not happen.
   *
   * @since 0.3
   */
  public List<String> violations() {
    return List.copyOf(checker.violations);
  }

  // Time

  /**
   * Schedules a task.
   *
   * @param when time at which it is to run, in milliseconds
   * @since 0.3
   */
  public void at(long when, Runnable task) {
    timeline.at(when, task);
  }

  /**
   * Lets time pass.
   *
   * @since 0.3
   */
  public void run(long millis) {
    long end = now + millis;
    while (now < end) {
      now += STEP_MILLIS;
      timeline.runUntil(now);
      for (EmulatedWorker worker : List.copyOf(workers.values())) {
        heartbeats.sendIfDue(worker);
        worker.advance(now, STEP_MILLIS);
      }
      network.answerWaiting();
      leader.advance();
    }
  }

  /** Returns how long a run takes to stop; the same each time. */
  long stopMillis(RunId run) {
    int range = fleet.mostStopMillis() - fleet.leastStopMillis();
    return fleet.leastStopMillis() + new SplittableRandom(run.hashCode()).nextInt(range + 1);
  }
}
