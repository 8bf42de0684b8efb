package org.primrosegauge.node.scope;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.primrosegauge.core.ErrorKind;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.InvalidInputException;
import org.primrosegauge.core.JobId;
import org.primrosegauge.core.PrimrosegaugeException;
import org.primrosegauge.core.StorageException;
import org.primrosegauge.core.Term;
import org.primrosegauge.core.log.LogEntry;
import org.primrosegauge.core.log.MembershipChange;
import org.primrosegauge.core.log.ReplicaId;
import org.primrosegauge.core.log.cfg.LogSettings;
import org.primrosegauge.core.scope.DrainCommands;
import org.primrosegauge.core.scope.JobEntry;
import org.primrosegauge.core.scope.ScopeAdmission;
import org.primrosegauge.core.scope.ScopeCommand;
import org.primrosegauge.core.scope.ScopeConfiguration;
import org.primrosegauge.core.scope.ScopeJob;
import org.primrosegauge.core.scope.ScopeLedger;
import org.primrosegauge.core.scope.ScopeResult;
import org.primrosegauge.core.scope.ScopeScheduler;
import org.primrosegauge.core.scope.ScopeSnapshot;
import org.primrosegauge.core.scope.WorkerHeartbeat;
import org.primrosegauge.node.duty.MonotonicClock;
import org.primrosegauge.node.duty.SuspensionDetector;
import org.primrosegauge.node.log.LogStorage;
import org.primrosegauge.node.log.PolymorphicCodec;
import org.primrosegauge.node.log.ReplicatedLog;
import org.primrosegauge.node.log.ReplicatedStateMachine;
import org.primrosegauge.node.scope.SchedulerRunner.EventKind;
import org.primrosegauge.node.scope.ScopeMessage.Answer;
import org.primrosegauge.node.scope.ScopeMessage.Question;
import org.primrosegauge.node.transport.PeerTransport;
import org.primrosegauge.wire.WireException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.publisher.Mono;

/**
 * Replica of a scope's ledger at an instance with a disk, which runs the scheduler while it leads.
 *
 * <p>Ledger and scheduler are accessed on the log thread only. Requests may be made from any
 * thread.
 *
 * <p>Lifecycle: {@link #start}, {@link #close}.
 *
 * @since 0.2
 */
public final class ScopeReplica implements AutoCloseable {

  private static final Logger LOG = LoggerFactory.getLogger(ScopeReplica.class);
  private static final int QUEUE_CAPACITY = 8_192;

  private final MonotonicClock clock;
  private final MonotonicClock wallClock;
  private final ScopeEventLog events;
  private final ScopeMetrics metrics;
  private final PolymorphicCodec codec = new PolymorphicCodec(ScopeCommand.class);
  private final ScopeLedger ledger;
  private final ScopeScheduler scheduler;
  private final SchedulerRunner schedulerRunner;
  private final ConfigurationParser configurations;
  private final CallAuthorizer authorizer;
  private final ReplicatedLog<ScopeResult> log;
  private final SuspensionDetector suspensions;
  private final ProposedJobs proposedJobs = new ProposedJobs();

  private final DomainOrderSequence domainOrders = new DomainOrderSequence();

  /**
   * Dependencies of a replica, provided by its process.
   *
   * @param storage durable storage
   * @param random source of randomness for election timeouts
   * @param clock monotonic clock
   * @param wallClock wall clock, in milliseconds since 1970
   * @param transport connections to other instances
   * @param workers client of the workers
   * @param configurations parser of the configurations
   * @param events log of scheduling decisions
   * @param metrics latencies and queue lengths
   * @param onStorageFailure called once when the storage becomes unusable
   * @since 0.2
   */
  public record Dependencies(
      LogStorage storage,
      RandomGenerator random,
      MonotonicClock clock,
      MonotonicClock wallClock,
      PeerTransport transport,
      WorkerClient workers,
      ConfigurationParser configurations,
      ScopeEventLog events,
      ScopeMetrics metrics,
      Consumer<StorageException> onStorageFailure) {}

  /**
   * Creates a replica from the contents of its storage.
   *
   * @param sinceMillis a time by which any earlier incarnation of this replica had ended, in
   *     milliseconds of the monotonic clock
   * @throws StorageException if the storage cannot be recovered
   * @since 0.2
   */
  public ScopeReplica(
      LogSettings settings,
      ScopeLedger ledger,
      ScopeScheduler scheduler,
      long sinceMillis,
      Dependencies dependencies)
      throws StorageException {
    this.clock = dependencies.clock();
    this.wallClock = dependencies.wallClock();
    this.suspensions = new SuspensionDetector(clock, wallClock);
    this.events = dependencies.events();
    this.metrics = dependencies.metrics();
    this.ledger = ledger;
    this.scheduler = scheduler;
    this.configurations = dependencies.configurations();
    this.authorizer = new CallAuthorizer(ledger);
    this.log =
        new ReplicatedLog<>(
            settings,
            QUEUE_CAPACITY,
            sinceMillis,
            new ReplicatedLog.Dependencies(
                dependencies.storage(),
                dependencies.random(),
                dependencies.clock(),
                dependencies.transport(),
                dependencies.onStorageFailure()),
            new LedgerStateMachine());
    this.schedulerRunner =
        new SchedulerRunner(scheduler, new LogLeadership(log), codec, dependencies);
    dependencies.transport().onAsk(Question.class, (from, request) -> answer(request));
    dependencies.transport().onTell(ScopeMessage.Join.class, (from, join) -> admit(join));
  }

  /**
   * Starts the threads of the replica.
   *
   * @since 0.2
   */
  public void start() {
    log.start();
  }

  @Override
  public void close() {
    log.close();
  }

  /**
   * Returns the last known leader, or null if none is known. May be called from any thread.
   *
   * @since 0.2
   */
  public InstanceId leader() {
    return log.leader();
  }

  /**
   * Returns the request to be admitted to the log if this replica is not a member or may have been
   * removed; empty otherwise. May be called from any thread.
   *
   * @since 0.2
   */
  public Mono<ScopeMessage.Join> joinRequestIfNeeded() {
    return log.duty()
        .ask(
            () ->
                log.needsAdmission()
                    ? Optional.of(new ScopeMessage.Join(log.id()))
                    : Optional.<ScopeMessage.Join>empty())
        .flatMap(Mono::justOrEmpty);
  }

  /**
   * Transfers leadership to another replica if this one leads, so that the scope is not left
   * without a leader until an election timeout. May be called from any thread.
   *
   * @since 0.3
   */
  public void transferLeadership() {
    log.transferLeadership();
  }

  /**
   * Responds to a request. A caller's request that waited too long is refused without being
   * executed. The result never signals an error. May be called from any thread.
   *
   * @since 0.2
   */
  public Mono<Answer> answer(Question request) {
    return Mono.defer(() -> ask(request, clock.nowMillis()))
        .flatMap(response -> response)
        .onErrorResume(error -> Mono.just(responseTo(error)));
  }

  private Mono<Mono<Answer>> ask(Question request, long receivedMillis) {
    return log.duty()
        .ask(
            LoadShedding.rankOf(request),
            () ->
                respond(
                    request, LoadShedding.isStale(request, clock.nowMillis() - receivedMillis)));
  }

  private Answer responseTo(Throwable error) {
    if (error instanceof PrimrosegaugeException known) {
      if (known.kind() == ErrorKind.OVER_LIMIT) {
        metrics.recordShed(LoadShedding.ShedReason.NO_ROOM);
      }
      return switch (known.kind()) {
        case OUTCOME_UNKNOWN -> new ScopeMessage.Unknown();
        case OVER_LIMIT ->
            new ScopeMessage.Refused(ScopeRefusal.OVERLOADED, LoadShedding.RETRY_AFTER_MILLIS);
        case INVALID_INPUT -> new ScopeMessage.Refused(ScopeRefusal.BAD_ID);
        default -> new ScopeMessage.NotLeader(knownOtherLeader());
      };
    }
    LOG.error("request failed unexpectedly, responding with unknown outcome", error);
    return new ScopeMessage.Unknown();
  }

  private InstanceId knownOtherLeader() {
    InstanceId known = log.leader();
    return log.id().instance().equals(known) ? null : known;
  }

  /** Ends the lease after a suspension, which its clock does not count but those of others do. */
  private void endLeaseIfSuspended() {
    if (suspensions.wasSuspended()) {
      LOG.warn("the machine was suspended or its wall clock was set forward; confirming the lease");
      log.suspended(clock.nowMillis());
    }
  }

  private Mono<Answer> respond(Question request, boolean isStale) throws InvalidInputException {
    endLeaseIfSuspended();
    boolean isLeading = schedulerRunner.isLeading() && log.isAuthoritative(clock.nowMillis());
    if (request instanceof ScopeMessage.AskLeader) {
      List<InstanceId> members =
          log.membership().members().stream().map(m -> m.replica().instance()).toList();
      List<InstanceId> voters =
          log.membership().voters().stream().map(ReplicaId::instance).toList();
      return Mono.just(new ScopeMessage.Leader(log.leader(), members, voters, isLeading));
    }
    if (!isLeading) {
      return Mono.just(new ScopeMessage.NotLeader(knownOtherLeader()));
    }
    if (request instanceof ScopeMessage.Submit submit) {
      return submit(submit, isStale);
    } else if (request instanceof ScopeMessage.AskState query) {
      return Mono.just(
          isStale
              ? shed(LoadShedding.ShedReason.STALE_READ, query.address())
              : jobState(query.address()));
    } else if (request instanceof ScopeMessage.Cancel cancel) {
      return isStale
          ? Mono.just(shed(LoadShedding.ShedReason.STALE_CALL, cancel.address()))
          : cancel(cancel.address());
    } else if (request instanceof ScopeMessage.Configure configure) {
      return configure(configure);
    } else if (request instanceof ScopeMessage.AskConfiguration) {
      return Mono.just(configuration());
    } else if (request instanceof ScopeMessage.SwitchDomain order) {
      return switchDomain(order);
    } else if (request instanceof ScopeMessage.AskOrderPlace query) {
      return Mono.just(domainOrders.current(query.domain(), log.term()));
    } else if (request instanceof ScopeMessage.Heartbeat heartbeat) {
      return heartbeat(heartbeat.status());
    }
    ScopeMessage.WorkerLeft left = (ScopeMessage.WorkerLeft) request;
    schedulerRunner.run(
        EventKind.HEARTBEAT, (scheduler, now) -> scheduler.workerLeft(left.target(), now));
    return Mono.just(new ScopeMessage.Done());
  }

  /**
   * Acknowledges a worker's drain only once it is committed, so that each later leader knows it.
   */
  private Mono<Answer> heartbeat(WorkerHeartbeat heartbeat) {
    schedulerRunner.run(
        EventKind.HEARTBEAT, (scheduler, now) -> scheduler.handleHeartbeat(heartbeat, now));
    List<Mono<Answer>> proposals =
        DrainCommands.forHeartbeat(ledger, heartbeat).stream().map(this::propose).toList();
    return Mono.when(proposals).thenReturn(new ScopeMessage.Done());
  }

  private Mono<Answer> submit(ScopeMessage.Submit submit, boolean isStale)
      throws InvalidInputException {
    CallAuthorizer.Authorization authorization = authorizer.authorize(submit.address());
    if (authorization.refusal() != null) {
      return refuse(authorization.refusal(), submit.address());
    }
    ScopeJob job = authorizer.toJob(authorization.call(), submit.job(), wallClock.nowMillis());
    Optional<JobEntry> known = ledger.job(job.id());
    if (known.isPresent()) {
      return known.get().job().isSameAs(job)
          ? Mono.just(new ScopeMessage.Done())
          : refuse(ScopeRefusal.ID_IN_USE, submit.address());
    }
    if (ledger.wasCancelledEarly(job)) {
      return refuse(ScopeRefusal.CANCELLED, submit.address());
    }
    if (isStale) {
      // An earlier attempt may have proposed the same job.
      return Mono.just(
          proposedJobs.contains(job.id())
              ? new ScopeMessage.Unknown()
              : shed(LoadShedding.ShedReason.STALE_CALL, submit.address()));
    }
    OptionalLong retryAfter = ScopeAdmission.retryAfterMillis(job, ledger);
    // A job whose proposal is in flight may still be accepted; a retry of it is not a new job.
    if (retryAfter.isPresent() && !proposedJobs.contains(job.id())) {
      events.refused(ScopeRefusal.BACKLOG, submit.address());
      return Mono.just(new ScopeMessage.Refused(ScopeRefusal.BACKLOG, retryAfter.getAsLong()));
    }
    proposedJobs.proposed(job.id());
    return propose(new ScopeCommand.Submit(job))
        .doOnNext(answer -> reportIfRefused(answer, submit.address()))
        .doOnNext(answer -> forgetIfRefused(job.id(), answer))
        .doOnError(error -> proposalFailed(job.id()));
  }

  /**
   * Records that a proposal failed. The log fails proposals on its own thread, unless the queue of
   * that thread is full.
   */
  private void proposalFailed(JobId job) {
    if (log.duty().isCurrentThread()) {
      proposedJobs.failed(job);
    } else {
      log.duty().offer(() -> proposedJobs.failed(job));
    }
  }

  private void forgetIfRefused(JobId job, Answer answer) {
    if (answer instanceof ScopeMessage.Refused) {
      proposalFailed(job);
    }
  }

  private Answer shed(LoadShedding.ShedReason reason, CallerAddress address) {
    metrics.recordShed(reason);
    events.refused(ScopeRefusal.OVERLOADED, address);
    return new ScopeMessage.Refused(ScopeRefusal.OVERLOADED, LoadShedding.RETRY_AFTER_MILLIS);
  }

  private Answer jobState(CallerAddress address) throws InvalidInputException {
    CallAuthorizer.Authorization authorization = authorizer.authorize(address);
    if (authorization.refusal() != null) {
      return refused(authorization.refusal(), address);
    }
    if (authorization.call().jobPath().isEmpty()) {
      return new ScopeMessage.Pending(ledger.queuedJobs(authorization.call().queue().name()));
    }
    Optional<JobEntry> job = authorizer.findJob(authorization.call());
    return job.<Answer>map(entry -> new ScopeMessage.State(entry.status()))
        .orElseGet(() -> refused(ScopeRefusal.UNKNOWN_JOB, address));
  }

  /**
   * Cancels a job. The cancelling of an unknown job is committed before it is answered, since the
   * submission may be delayed in transit and must not be accepted afterwards.
   */
  private Mono<Answer> cancel(CallerAddress address) throws InvalidInputException {
    CallAuthorizer.Authorization authorization = authorizer.authorize(address);
    if (authorization.refusal() != null) {
      return refuse(authorization.refusal(), address);
    }
    return propose(authorizer.toCancel(authorization.call(), wallClock.nowMillis()))
        .doOnNext(answer -> reportIfRefused(answer, address));
  }

  /** Reports a refusal by the ledger; a command that is too large has been reported already. */
  private void reportIfRefused(Answer answer, CallerAddress address) {
    if (answer instanceof ScopeMessage.Refused refused
        && refused.reason() != ScopeRefusal.TOO_LARGE) {
      events.refused(refused.reason(), address);
    }
  }

  private Mono<Answer> configure(ScopeMessage.Configure configure) {
    boolean isNewer = configure.revision().compareTo(ledger.configuration().revision()) > 0;
    events.operatorOrder(
        "configuration",
        "revision=" + configure.revision() + " in_force=" + ledger.configuration().revision());
    if (!isNewer) {
      return Mono.just(new ScopeMessage.Done());
    }
    // The text alone: with the parsed form beside it an entry would be larger than the request.
    return propose(new ScopeCommand.Configure(null, configure.content()));
  }

  private Mono<Answer> switchDomain(ScopeMessage.SwitchDomain order) {
    boolean isOutNow = ledger.domainsOut().contains(order.domain());
    if (domainOrders.isSuperseded(order, log.term(), isOutNow)) {
      events.operatorOrder("domain switch, overtaken", order.domain() + " out=" + order.isOut());
      return Mono.just(new ScopeMessage.Refused(ScopeRefusal.OVERTAKEN));
    }
    events.operatorOrder("domain switch", order.domain() + " out=" + order.isOut());
    domainOrders.accepted(order);
    return propose(new ScopeCommand.SwitchDomain(order.domain(), order.isOut()));
  }

  private Answer configuration() {
    return ledger.configuration().isConfigured()
        ? new ScopeMessage.Configuration(ledger.content())
        : new ScopeMessage.Refused(ScopeRefusal.NOT_CONFIGURED);
  }

  private Mono<Answer> refuse(ScopeRefusal reason, CallerAddress address) {
    return Mono.just(refused(reason, address));
  }

  private Answer refused(ScopeRefusal reason, CallerAddress address) {
    events.refused(reason, address);
    return new ScopeMessage.Refused(reason);
  }

  private Mono<Answer> propose(ScopeCommand command) {
    byte[] bytes = codec.write(command);
    if (bytes.length > LogEntry.MAX_COMMAND_BYTES) {
      events.tooLarge(command, bytes.length);
      return Mono.just(new ScopeMessage.Refused(ScopeRefusal.TOO_LARGE));
    }
    return log.propose(bytes).map(ScopeReplica::answerTo);
  }

  private static Answer answerTo(ScopeResult result) {
    return switch (result) {
      case APPLIED -> new ScopeMessage.Done();
      case UNKNOWN_JOB -> new ScopeMessage.Refused(ScopeRefusal.UNKNOWN_JOB);
      case ID_IN_USE -> new ScopeMessage.Refused(ScopeRefusal.ID_IN_USE);
      case CANCELLED -> new ScopeMessage.Refused(ScopeRefusal.CANCELLED);
      case TOO_MANY_CANCELLATIONS ->
          new ScopeMessage.Refused(ScopeRefusal.OVERLOADED, LoadShedding.RETRY_AFTER_MILLIS);
    };
  }

  private void admit(ScopeMessage.Join join) {
    log.duty()
        .offer(
            () -> {
              if (log.isLeader() && !log.membership().contains(join.replica())) {
                log.changeMembership(new MembershipChange.AddLearner(join.replica()));
              }
            });
  }

  /** State machine that applies the entries of the log to the ledger. */
  private final class LedgerStateMachine implements ReplicatedStateMachine<ScopeResult> {

    @Override
    public ScopeResult apply(LogEntry entry) throws WireException {
      ScopeCommand command = read(entry.command());
      boolean isLeading = schedulerRunner.isLeading();
      if (isLeading) {
        metrics.beforeApply(command, ledger);
      }
      final ScopeResult result = ledger.apply(command);
      if (command instanceof ScopeCommand.Submit submit) {
        proposedJobs.applied(submit.job().id());
      }
      if (isLeading) {
        events.commandApplied(command, result, ledger.configuration());
        metrics.afterApply(ledger, wallClock.nowMillis());
      }
      schedulerRunner.run(EventKind.APPLIED, (scheduler, now) -> scheduler.applied(command, now));
      return result;
    }

    private ScopeCommand read(byte[] bytes) throws WireException {
      ScopeCommand command = codec.read(bytes, ScopeCommand.class);
      // Entries of earlier releases hold the parsed configuration beside its text.
      return command instanceof ScopeCommand.Configure text && text.configuration() == null
          ? new ScopeCommand.Configure(parse(text.content()), text.content())
          : command;
    }

    private ScopeConfiguration parse(String content) throws WireException {
      try {
        return configurations.parse(content);
      } catch (InvalidInputException e) {
        throw new WireException(
            "configuration cannot be parsed", "run the same release on all instances", e);
      }
    }

    @Override
    public Supplier<byte[]> snapshot() {
      ScopeSnapshot state = ledger.snapshot();
      return () -> codec.write(state);
    }

    @Override
    public void restore(byte[] state) throws WireException {
      ledger.restore(codec.read(state, ScopeSnapshot.class));
      scheduler.restored();
    }

    @Override
    public void onApplied(long applied) {
      schedulerRunner.startLeadingIfDue();
    }

    @Override
    public void onLeaderChanged(InstanceId leader, Term term) {
      events.leaderChanged(leader, term);
      proposedJobs.clear();
      domainOrders.clear();
      schedulerRunner.stopLeadingIfDue();
    }

    @Override
    public void tick(long nowMillis) {
      endLeaseIfSuspended();
      schedulerRunner.startLeadingIfDue();
      schedulerRunner.run(EventKind.TICK, ScopeScheduler::tick);
      schedulerRunner.reportLoad(nowMillis, log.duty()::takeLoad);
      metrics.tick(ledger, schedulerRunner.isLeading(), nowMillis, wallClock.nowMillis());
    }

    @Override
    public void afterBatch(long nowMillis) {
      schedulerRunner.planOrPoll(nowMillis);
    }

    @Override
    public long afterBatchDueMillis() {
      return schedulerRunner.planDueMillis();
    }
  }

  /** Returns whether an error means that the request is too large to be sent to the leader. */
  static boolean isTooLarge(Throwable error) {
    return error instanceof PrimrosegaugeException known && known.kind() == ErrorKind.OVER_LIMIT;
  }

  /** Returns whether an error means that the request was not executed. */
  static boolean isUnavailable(Throwable error) {
    return error instanceof PrimrosegaugeException known && known.kind() == ErrorKind.UNAVAILABLE;
  }
}
