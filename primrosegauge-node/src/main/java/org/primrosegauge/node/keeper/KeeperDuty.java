package org.primrosegauge.node.keeper;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.PrimrosegaugeException;
import org.primrosegauge.core.Revision;
import org.primrosegauge.core.TargetId;
import org.primrosegauge.core.TaskId;
import org.primrosegauge.core.Term;
import org.primrosegauge.core.job.JobPhase;
import org.primrosegauge.core.job.LedgerRecord;
import org.primrosegauge.core.keeper.KeeperAction;
import org.primrosegauge.core.keeper.KeeperLease;
import org.primrosegauge.core.keeper.KeeperMessage;
import org.primrosegauge.core.keeper.KeeperOffice;
import org.primrosegauge.core.keeper.QuorumResult;
import org.primrosegauge.core.keeper.cfg.KeeperSettings;
import org.primrosegauge.core.registry.RegistryCommand;
import org.primrosegauge.core.schedule.DomainScheduler;
import org.primrosegauge.core.schedule.JobReason;
import org.primrosegauge.core.schedule.RunningTask;
import org.primrosegauge.core.schedule.SchedulerAction;
import org.primrosegauge.core.schedule.WorkerDescription;
import org.primrosegauge.core.schedule.cfg.SchedulerSettings;
import org.primrosegauge.core.schedule.cfg.SchedulingPolicy;
import org.primrosegauge.core.site.DomainSwitch;
import org.primrosegauge.core.site.SiteConfiguration;
import org.primrosegauge.node.duty.Duty;
import org.primrosegauge.node.duty.MonotonicClock;
import org.primrosegauge.node.job.JobMessage;
import org.primrosegauge.node.metrics.NodeMetrics;
import org.primrosegauge.node.target.WorkerClient;
import org.primrosegauge.node.transport.PeerTransport;
import org.primrosegauge.wire.api.TargetView;
import org.primrosegauge.wire.target.AnnouncementReply;
import org.primrosegauge.wire.target.TaskEnd;
import org.primrosegauge.wire.target.WorkerAnnouncement;
import org.primrosegauge.wire.target.WorkerRenewal;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.publisher.Mono;

/**
 * The keeper duty of an instance: it takes part in the keeper's lease of the failure domain and,
 * while it holds the office, schedules the domain's jobs.
 *
 * <p>All state is touched on the duty's own thread only. Life-cycle: {@link #start}, {@link
 * #close}.
 *
 * @since 0.1
 */
public final class KeeperDuty implements AutoCloseable {

  private static final Logger LOG = LoggerFactory.getLogger(KeeperDuty.class);
  private static final long TICK_MILLIS = 50;
  private static final Duration DRAIN_CHECK_INTERVAL = Duration.ofMillis(10);
  private static final Duration DRAIN_MOST = Duration.ofSeconds(3);

  /** Longest time for which a new keeper waits for the records of others before it denies a job. */
  private static final long READ_MOST_MILLIS = 10_000;

  private final FailureDomainId domain;
  private final MonotonicClock clock;
  private final PeerTransport transport;
  private final KeeperQuorum quorum;
  private final NodeMetrics metrics;
  private final Duty duty;
  private final KeeperLease lease;
  private final DomainScheduler scheduler;
  private final WorkerRegistry workers;
  private final CommandSender commands;
  private final JobBook jobs;
  private final JobLog jobLog;
  private final PeerRecords peerRecords;
  private final HeldStarts heldStarts = new HeldStarts();
  private Revision switchInForce = Revision.NONE;
  private boolean isLogRead;
  private long inOfficeSinceMillis = Long.MAX_VALUE;
  private volatile KeeperFigures figures = KeeperFigures.NONE;

  /**
   * Creates the duty.
   *
   * @param ringCapacity most events that wait
   * @param neighbours other configured instances of the domain
   * @param workerLeaseMillis how long a worker's announcement holds, in milliseconds
   * @since 0.1
   */
  public KeeperDuty(
      FailureDomainId domain,
      InstanceId self,
      KeeperSettings settings,
      int ringCapacity,
      long workerLeaseMillis,
      MonotonicClock clock,
      PeerTransport transport,
      KeeperQuorum quorum,
      JobLog jobLog,
      List<InstanceId> neighbours,
      WorkerClient client,
      NodeMetrics metrics) {
    this.domain = domain;
    this.clock = clock;
    this.transport = transport;
    this.quorum = quorum;
    this.metrics = metrics;
    this.duty = new Duty("keeper", ringCapacity, TICK_MILLIS, clock, this::tick);
    this.lease = new KeeperLease(domain, self, settings, clock.nowMillis());
    this.scheduler =
        new DomainScheduler(domain, SchedulerSettings.DEFAULTS, SchedulingPolicy.DEFAULT);
    this.workers = new WorkerRegistry(workerLeaseMillis);
    this.commands =
        new CommandSender(workers, client, metrics, () -> lease.mayStart(clock.nowMillis()));
    this.jobLog = jobLog;
    this.jobs =
        new JobBook(domain, neighbours, clock, duty, transport, jobLog, this::releaseStarts);
    this.peerRecords = new PeerRecords(neighbours, transport, duty, this::mergeAndRestore);
    transport.onTell(
        KeeperMessage.class,
        (from, message) -> duty.offer(() -> run(lease.receive(message, clock.nowMillis()))));
    JobDesk desk =
        new JobDesk(
            domain,
            lease,
            scheduler,
            jobs,
            clock,
            duty,
            actions -> perform(actions),
            this::knowsAllJobs);
    transport.onAsk(JobMessage.Question.class, (from, question) -> desk.answer(question));
  }

  // Life-cycle

  /**
   * Starts the duty.
   *
   * @since 0.1
   */
  public void start() {
    duty.start();
  }

  @Override
  public void close() {
    drain();
    duty.close();
  }

  /**
   * Ends at once, as when the process is killed: starts that were sent get no successor here.
   *
   * @since 0.3
   */
  public void halt() {
    duty.close();
  }

  /** Begins nothing new and waits, for a bounded time, until no gang is between its starts. */
  private void drain() {
    duty.ask(this::drainStep)
        .repeatWhen(rounds -> rounds.delayElements(DRAIN_CHECK_INTERVAL))
        .takeUntil(starting -> !starting)
        .take(DRAIN_MOST)
        .onErrorComplete()
        .blockLast();
  }

  private boolean drainStep() {
    perform(scheduler.drain(clock.nowMillis()));
    return scheduler.isStarting();
  }

  // Accessors; may be called from any thread

  /**
   * Returns what the duty last published about itself.
   *
   * @since 0.1
   */
  public KeeperFigures figures() {
    return figures;
  }

  /**
   * Returns the workers that hold a lease from this keeper.
   *
   * @since 0.1
   */
  public Mono<List<TargetView>> targets() {
    return duty.ask(workers::views);
  }

  // Events; may be called from any thread

  /**
   * Takes the announcement of a worker.
   *
   * @return the reply; empty when this instance is not the keeper
   * @since 0.1
   */
  public Mono<Optional<AnnouncementReply>> announced(
      TargetId worker, WorkerAnnouncement announcement) {
    return duty.ask(() -> takeAnnouncement(worker, announcement));
  }

  /**
   * Takes the renewal of a worker whose announcement has not changed.
   *
   * @return the reply, with a lease of 0 when a full announcement is needed; empty when this
   *     instance is not the keeper
   * @since 0.1
   */
  public Mono<Optional<AnnouncementReply>> renewed(TargetId worker, WorkerRenewal renewal) {
    return duty.ask(
        () -> {
          long now = clock.nowMillis();
          if (!lease.mayStart(now)) {
            return Optional.empty();
          }
          boolean known = workers.renew(worker, renewal.version(), now);
          long leaseMillis = known ? workers.leaseMillis() : 0;
          return Optional.of(new AnnouncementReply(leaseMillis, null, null));
        });
  }

  /**
   * Takes over a configuration.
   *
   * @since 0.1
   */
  public boolean configured(SiteConfiguration configuration) {
    return duty.offer(
        () -> perform(scheduler.configurationChanged(configuration, clock.nowMillis())));
  }

  /**
   * Takes over an order about the domain.
   *
   * @since 0.1
   */
  public boolean switched(DomainSwitch order) {
    return duty.offer(
        () -> {
          perform(scheduler.domainSwitched(order, clock.nowMillis()));
          if (order.revision().compareTo(switchInForce) > 0) {
            switchInForce = order.revision();
          }
        });
  }

  /**
   * Takes over what the quorum has recorded about the office.
   *
   * @since 0.1
   */
  public boolean officeObserved(KeeperOffice office) {
    return duty.offer(() -> run(lease.officeObserved(office, clock.nowMillis())));
  }

  // Workers

  private Optional<AnnouncementReply> takeAnnouncement(
      TargetId worker, WorkerAnnouncement announcement) throws PrimrosegaugeException {
    long now = clock.nowMillis();
    if (!lease.mayStart(now)) {
      return Optional.empty();
    }
    final WorkerDescription description = WorkerRegistry.describe(worker, announcement);
    for (RunningTask running : description.running()) {
      if (!jobs.isKnown(running.task().job())) {
        jobs.accept(running.job(), lease.term());
      }
    }
    workers.announced(worker, announcement, now);
    // Ends first: a task that is neither running nor ended counts as lost.
    perform(scheduler.workerReported(WorkerRegistry.report(worker, announcement), now));
    perform(scheduler.workerAnnounced(description, now));
    if (announcement.leaving()) {
      perform(scheduler.workerLeaving(worker, now));
    }
    List<TaskId> acknowledged = announcement.ended().stream().map(TaskEnd::task).toList();
    return Optional.of(new AnnouncementReply(workers.leaseMillis(), null, acknowledged));
  }

  // Time

  private void tick(long nowMillis) {
    run(lease.tick(nowMillis));
    if (lease.mayStart(nowMillis)) {
      perform(scheduler.leaseGranted(lease.term(), lease.snapshot().leaseUntil(), nowMillis));
      for (TargetId expired : workers.expire(nowMillis)) {
        perform(scheduler.workerExpired(expired, nowMillis));
      }
    }
    perform(scheduler.tick(nowMillis));
    peerRecords.tick(nowMillis);
    jobs.tick(lease.mayStart(nowMillis), nowMillis);
    releaseStarts();
    publish(nowMillis);
  }

  private void releaseStarts() {
    heldStarts.release(clock.nowMillis(), jobs::mayStart, this::sendStart);
  }

  private void publish(long nowMillis) {
    figures =
        new KeeperFigures(
            lease.mayStart(nowMillis) ? lease.term() : Term.NONE,
            switchInForce,
            workers.size(),
            workers.freeAccelerators(),
            jobs.count(JobPhase.QUEUED),
            jobs.count(JobPhase.RUNNING));
  }

  // Actions of the lease

  private void run(List<KeeperAction> actions) {
    for (KeeperAction action : actions) {
      if (action instanceof KeeperAction.Send send) {
        transport.tell(send.to(), send.message());
      } else if (action instanceof KeeperAction.ProposeAcquire acquire) {
        propose(
            new RegistryCommand.AcquireKeeper(
                acquire.domain(), acquire.instance(), acquire.expected()),
            result -> lease.acquireResult(acquire.number(), result, clock.nowMillis()));
      } else if (action instanceof KeeperAction.ProposeRenew renew) {
        propose(
            new RegistryCommand.RenewKeeper(renew.domain(), renew.instance(), renew.term()),
            result -> lease.renewResult(renew.number(), result, clock.nowMillis()));
      } else if (action instanceof KeeperAction.AcknowledgeSet acknowledge) {
        propose(
            new RegistryCommand.AcknowledgeKeepers(
                acknowledge.domain(),
                acknowledge.instance(),
                acknowledge.term(),
                acknowledge.version()),
            result -> lease.officeObserved(result.office(), clock.nowMillis()));
      } else if (action instanceof KeeperAction.TookOffice took) {
        LOG.info("keeper of failure domain {} under term {}", domain, took.term());
        takeOver();
      } else if (action instanceof KeeperAction.LostOffice lost) {
        LOG.info("no longer keeper of failure domain {} under term {}", domain, lost.term());
        inOfficeSinceMillis = Long.MAX_VALUE;
        workers.clear();
      }
    }
  }

  private void propose(
      RegistryCommand.KeeperCommand command,
      java.util.function.Function<QuorumResult, List<KeeperAction>> onResult) {
    quorum
        .propose(command)
        .subscribe(
            result -> duty.offer(() -> run(onResult.apply(result))),
            error -> LOG.debug("the quorum did not answer {}", command, error));
  }

  // Actions of the scheduler

  private void perform(List<SchedulerAction> actions) {
    for (SchedulerAction action : actions) {
      if (action instanceof SchedulerAction.Reserve reserve) {
        commands.reserve(reserve, this::reserveReply);
      } else if (action instanceof SchedulerAction.Start start) {
        startOrHold(start);
      } else if (action instanceof SchedulerAction.Release release) {
        commands.release(release);
      } else if (action instanceof SchedulerAction.Stop stop) {
        commands.stop(stop);
      } else if (action instanceof SchedulerAction.JobChanged change) {
        jobChanged(change);
      } else if (action instanceof SchedulerAction.GuaranteeChanged guarantee) {
        LOG.warn(
            "guarantee of customer {} ({}) lacks {} blocks in failure domain {}",
            guarantee.customer(),
            guarantee.shape(),
            guarantee.missingBlocks(),
            domain);
      }
    }
  }

  private void jobChanged(SchedulerAction.JobChanged change) {
    jobs.changed(change, lease.term());
    metrics.count("primrosegauge.job.changes", "job", change.reason());
    if (change.phase() == JobPhase.FAILED || change.reason() == JobReason.PREEMPTED) {
      metrics.refused("job", change.reason());
    }
    LOG.debug(
        "job {} attempt {} is {}: {}",
        change.job(),
        change.attempt(),
        change.phase(),
        change.reason().label());
  }

  /** Sends a start, or holds it until the record of the start is held where it must be. */
  private void startOrHold(SchedulerAction.Start start) {
    if (!jobs.recordStart(start.task(), lease.term())) {
      startReply(start.task(), false);
    } else if (jobs.mayStart(start.task())) {
      sendStart(start);
    } else {
      heldStarts.add(start, clock.nowMillis());
    }
  }

  private void sendStart(SchedulerAction.Start start) {
    commands.start(start, this::startReply);
  }

  /**
   * Hands the jobs on record to the scheduler: those known here at once, those of the log and of
   * the other instances later.
   */
  private void takeOver() {
    long now = clock.nowMillis();
    inOfficeSinceMillis = now;
    isLogRead = false;
    peerRecords.begin();
    perform(scheduler.leaseGranted(lease.term(), lease.snapshot().leaseUntil(), now));
    jobs.open().forEach(this::restore);
    jobLog
        .records(domain)
        .subscribe(
            records ->
                duty.offer(
                    () -> {
                      isLogRead = true;
                      mergeAndRestore(records);
                    }),
            error -> LOG.warn("job records of the log are not at hand: {}", error.getMessage()));
  }

  private void mergeAndRestore(List<LedgerRecord> records) {
    boolean inOffice = lease.mayStart(clock.nowMillis());
    for (LedgerRecord record : records) {
      boolean isNews = jobs.merge(record);
      if (isNews && inOffice) {
        jobs.find(record.spec().id()).filter(merged -> !merged.isFinal()).ifPresent(this::restore);
      }
    }
  }

  /**
   * Tells whether a job that is not known here does not exist: this is the keeper, and all who may
   * hold records have been read, or had their time.
   */
  private boolean knowsAllJobs() {
    long now = clock.nowMillis();
    boolean isRead = isLogRead && peerRecords.isComplete();
    return lease.mayStart(now) && (isRead || now - inOfficeSinceMillis > READ_MOST_MILLIS);
  }

  private void restore(LedgerRecord record) {
    perform(
        scheduler.jobRestored(record.spec(), record.attempt(), record.phase(), clock.nowMillis()));
  }

  private void reserveReply(TaskId task, boolean accepted) {
    duty.offer(() -> perform(scheduler.reserveReply(task, accepted, clock.nowMillis())));
  }

  private void startReply(TaskId task, boolean accepted) {
    duty.offer(() -> perform(scheduler.startReply(task, accepted, clock.nowMillis())));
  }
}
