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
import org.primrosegauge.core.log.Member;
import org.primrosegauge.core.log.MembershipChange;
import org.primrosegauge.core.log.ReplicaId;
import org.primrosegauge.core.log.cfg.LogSettings;
import org.primrosegauge.core.scope.DrainCommands;
import org.primrosegauge.core.scope.JobEntry;
import org.primrosegauge.core.scope.ScopeAdmission;
import org.primrosegauge.core.scope.ScopeCommand;
import org.primrosegauge.core.scope.ScopeJob;
import org.primrosegauge.core.scope.ScopeLedger;
import org.primrosegauge.core.scope.ScopeResult;
import org.primrosegauge.core.scope.ScopeScheduler;
import org.primrosegauge.core.scope.ScopeSnapshot;
import org.primrosegauge.core.scope.WorkerHeartbeat;
import org.primrosegauge.node.duty.MonotonicClock;
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
 * The replicated ledger of a scope at an instance with a disk and, while it leads, the scheduler.
 *
 * <p>Ledger and scheduler are touched on the log thread only. Questions may be asked from any
 * thread.
 *
 * <p>Life-cycle: {@link #start}, {@link #close}.
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
  private final CallAuthorizer authorizer;
  private final ReplicatedLog<ScopeResult> log;
  private final ProposedJobs proposedJobs = new ProposedJobs();

  private final DomainOrderSequence domainOrders = new DomainOrderSequence();

  /**
   * What the duty needs of its process.
   *
   * @param storage durable storage
   * @param random source of election time-outs
   * @param clock source of the monotonic present
   * @param wallClock source of the time of day, in milliseconds since 1970
   * @param transport connections to other instances
   * @param workers port to the workers
   * @param events log of decisions
   * @param meters times and queue lengths
   * @param onStorageFailure told once when the storage becomes unusable
   * @since 0.2
   */
  public record Dependencies(
      LogStorage storage,
      RandomGenerator random,
      MonotonicClock clock,
      MonotonicClock wallClock,
      PeerTransport transport,
      WorkerClient workers,
      ScopeEventLog events,
      ScopeMetrics metrics,
      Consumer<StorageException> onStorageFailure) {}

  /**
   * Creates the duty from what the storage holds.
   *
   * @param sinceMillis a time by which any earlier life of this replica had ended
   * @throws StorageException when the storage cannot be recovered
   * @since 0.2
   */
  public ScopeReplica(
      LogSettings settings,
      ScopeLedger ledger,
      ScopeScheduler scheduler,
      long sinceMillis,
      Dependencies ports)
      throws StorageException {
    this.clock = ports.clock();
    this.wallClock = ports.wallClock();
    this.events = ports.events();
    this.metrics = ports.metrics();
    this.ledger = ledger;
    this.scheduler = scheduler;
    this.authorizer = new CallAuthorizer(ledger);
    this.log =
        new ReplicatedLog<>(
            settings,
            QUEUE_CAPACITY,
            sinceMillis,
            new ReplicatedLog.Dependencies(
                ports.storage(),
                ports.random(),
                ports.clock(),
                ports.transport(),
                ports.onStorageFailure()),
            new LedgerState());
    this.schedulerRunner = new SchedulerRunner(scheduler, new LogLeadership(log), codec, ports);
    ports.transport().onAsk(Question.class, (from, question) -> answer(question));
    ports.transport().onTell(ScopeMessage.Join.class, (from, join) -> admit(join));
  }

  // Life-cycle

  /**
   * Starts its threads.
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

  // Accessors; may be called from any thread

  /**
   * Returns the leader, as known; null when none is known.
   *
   * @since 0.2
   */
  public InstanceId leader() {
    return log.leader();
  }

  /**
   * Asks to be admitted, if this replica is no member; the result is empty when it is.
   *
   * @since 0.2
   */
  public Mono<ScopeMessage.Join> joinRequestIfNeeded() {
    return log.duty()
        .ask(
            () -> {
              boolean isMember =
                  log.membership()
                      .find(log.id().instance())
                      .map(member -> member.replica().equals(log.id()))
                      .orElse(false);
              return isMember
                  ? Optional.<ScopeMessage.Join>empty()
                  : Optional.of(new ScopeMessage.Join(log.id()));
            })
        .flatMap(Mono::justOrEmpty);
  }

  // Main API; may be called from any thread

  /**
   * Stops leading, if this instance leads, so that another is elected at once.
   *
   * @since 0.3
   */
  public void transferLeadership() {
    log.transferLeadership();
  }

  /**
   * Answers a question. A caller's question that waited too long is refused, and was not run. The
   * result never fails.
   *
   * @since 0.2
   */
  public Mono<Answer> answer(Question question) {
    return Mono.defer(() -> ask(question, clock.nowMillis()))
        .flatMap(later -> later)
        .onErrorResume(error -> Mono.just(responseTo(error)));
  }

  private Mono<Mono<Answer>> ask(Question question, long askedMillis) {
    return log.duty()
        .ask(
            LoadShedding.rankOf(question),
            () ->
                respond(question, LoadShedding.isStale(question, clock.nowMillis() - askedMillis)));
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
    LOG.error("a question failed", error);
    return new ScopeMessage.Unknown();
  }

  private InstanceId knownOtherLeader() {
    InstanceId known = log.leader();
    return log.id().instance().equals(known) ? null : known;
  }

  // Log thread: questions

  private Mono<Answer> respond(Question question, boolean isStale) throws InvalidInputException {
    boolean leads = schedulerRunner.isLeading() && log.isAuthoritative(clock.nowMillis());
    if (question instanceof ScopeMessage.AskLeader) {
      List<InstanceId> members =
          log.membership().members().stream().map(m -> m.replica().instance()).toList();
      List<InstanceId> voters =
          log.membership().voters().stream().map(ReplicaId::instance).toList();
      return Mono.just(new ScopeMessage.Leader(log.leader(), members, voters, leads));
    }
    if (!leads) {
      return Mono.just(new ScopeMessage.NotLeader(knownOtherLeader()));
    }
    if (question instanceof ScopeMessage.Submit submit) {
      return submit(submit, isStale);
    } else if (question instanceof ScopeMessage.AskState ask) {
      return Mono.just(
          isStale
              ? shed(LoadShedding.ShedReason.STALE_READ, ask.address())
              : jobState(ask.address()));
    } else if (question instanceof ScopeMessage.Cancel cancel) {
      return isStale
          ? Mono.just(shed(LoadShedding.ShedReason.STALE_CALL, cancel.address()))
          : cancel(cancel.address());
    } else if (question instanceof ScopeMessage.Configure configure) {
      return configure(configure);
    } else if (question instanceof ScopeMessage.AskConfiguration) {
      return Mono.just(configuration());
    } else if (question instanceof ScopeMessage.SwitchDomain order) {
      return switchDomain(order);
    } else if (question instanceof ScopeMessage.AskOrderPlace ask) {
      return Mono.just(domainOrders.current(ask.domain(), log.term()));
    } else if (question instanceof ScopeMessage.Heartbeat heartbeat) {
      return heartbeat(heartbeat.status());
    }
    ScopeMessage.WorkerLeft left = (ScopeMessage.WorkerLeft) question;
    schedulerRunner.run(
        EventKind.HEARTBEAT, (leader, present) -> leader.workerLeft(left.target(), present));
    return Mono.just(new ScopeMessage.Done());
  }

  /** A worker is told that its leave is known only when each later leader knows it too. */
  private Mono<Answer> heartbeat(WorkerHeartbeat status) {
    schedulerRunner.run(
        EventKind.HEARTBEAT, (leader, present) -> leader.handleHeartbeat(status, present));
    List<Mono<Answer>> proposed =
        DrainCommands.forHeartbeat(ledger, status).stream().map(this::propose).toList();
    return Mono.when(proposed).thenReturn(new ScopeMessage.Done());
  }

  private Mono<Answer> submit(ScopeMessage.Submit submit, boolean isStale)
      throws InvalidInputException {
    CallAuthorizer.Authorization check = authorizer.authorize(submit.address());
    if (check.refusal() != null) {
      return refuse(check.refusal(), submit.address());
    }
    if (ledger.job(authorizer.toJob(check.call(), submit.job(), 0).id()).isPresent()) {
      return Mono.just(new ScopeMessage.Done());
    }
    ScopeJob job = authorizer.toJob(check.call(), submit.job(), wallClock.nowMillis());
    if (isStale) {
      // The same job may be on its way into the log since an earlier try.
      return Mono.just(
          proposedJobs.contains(job.id())
              ? new ScopeMessage.Unknown()
              : shed(LoadShedding.ShedReason.STALE_CALL, submit.address()));
    }
    OptionalLong comeBack = ScopeAdmission.retryAfterMillis(job, ledger);
    // A job that was proposed a moment ago may be accepted yet: the same again is no new job.
    if (comeBack.isPresent() && !proposedJobs.contains(job.id())) {
      events.refused(ScopeRefusal.BACKLOG, submit.address());
      return Mono.just(new ScopeMessage.Refused(ScopeRefusal.BACKLOG, comeBack.getAsLong()));
    }
    proposedJobs.proposed(job.id());
    return propose(new ScopeCommand.Submit(job)).doOnError(error -> proposalFailed(job.id()));
  }

  /** The log refuses on its own thread, unless its ring is full. */
  private void proposalFailed(JobId job) {
    if (log.duty().isCurrentThread()) {
      proposedJobs.failed(job);
    } else {
      log.duty().offer(() -> proposedJobs.failed(job));
    }
  }

  private Answer shed(LoadShedding.ShedReason why, CallerAddress address) {
    metrics.recordShed(why);
    events.refused(ScopeRefusal.OVERLOADED, address);
    return new ScopeMessage.Refused(ScopeRefusal.OVERLOADED, LoadShedding.RETRY_AFTER_MILLIS);
  }

  private Answer jobState(CallerAddress address) throws InvalidInputException {
    CallAuthorizer.Authorization check = authorizer.authorize(address);
    if (check.refusal() != null) {
      return refused(check.refusal(), address);
    }
    if (check.call().jobPath().isEmpty()) {
      return new ScopeMessage.Pending(ledger.queuedJobs(check.call().queue().name()));
    }
    Optional<JobEntry> job = authorizer.findJob(check.call());
    return job.<Answer>map(entry -> new ScopeMessage.State(entry.status()))
        .orElseGet(() -> refused(ScopeRefusal.UNKNOWN_JOB, address));
  }

  private Mono<Answer> cancel(CallerAddress address) throws InvalidInputException {
    CallAuthorizer.Authorization check = authorizer.authorize(address);
    if (check.refusal() != null) {
      return refuse(check.refusal(), address);
    }
    Optional<JobEntry> job = authorizer.findJob(check.call());
    if (job.isEmpty()) {
      return refuse(ScopeRefusal.UNKNOWN_JOB, address);
    }
    return propose(new ScopeCommand.Cancel(job.get().job().id(), wallClock.nowMillis()));
  }

  private Mono<Answer> configure(ScopeMessage.Configure configure) {
    boolean isNewer =
        configure.configuration().revision().compareTo(ledger.configuration().revision()) > 0;
    events.operatorOrder(
        "configuration",
        "revision="
            + configure.configuration().revision()
            + " in_force="
            + ledger.configuration().revision());
    if (!isNewer) {
      return Mono.just(new ScopeMessage.Done());
    }
    return propose(new ScopeCommand.Configure(configure.configuration(), configure.content()));
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

  private Mono<Answer> refuse(ScopeRefusal why, CallerAddress address) {
    return Mono.just(refused(why, address));
  }

  private Answer refused(ScopeRefusal why, CallerAddress address) {
    events.refused(why, address);
    return new ScopeMessage.Refused(why);
  }

  private Mono<Answer> propose(ScopeCommand command) {
    return log.propose(codec.write(command)).map(result -> new ScopeMessage.Done());
  }

  private void admit(ScopeMessage.Join join) {
    log.duty()
        .offer(
            () -> {
              Optional<Member> known = log.membership().find(join.replica().instance());
              boolean isMember =
                  known.map(member -> member.replica().equals(join.replica())).orElse(false);
              if (log.isLeader() && !isMember) {
                log.changeMembership(new MembershipChange.AddLearner(join.replica()));
              }
            });
  }

  /** The ledger as the state of the log. */
  private final class LedgerState implements ReplicatedStateMachine<ScopeResult> {

    @Override
    public ScopeResult apply(LogEntry entry) throws WireException {
      ScopeCommand command = codec.read(entry.command(), ScopeCommand.class);
      boolean leads = schedulerRunner.isLeading();
      if (leads) {
        metrics.beforeApply(command, ledger);
      }
      final ScopeResult result = ledger.apply(command);
      if (command instanceof ScopeCommand.Submit submit) {
        proposedJobs.applied(submit.job().id());
      }
      if (leads) {
        events.commandApplied(command);
        metrics.afterApply(ledger, wallClock.nowMillis());
      }
      schedulerRunner.run(EventKind.APPLIED, (leader, present) -> leader.applied(command, present));
      return result;
    }

    @Override
    public Supplier<byte[]> snapshot() {
      ScopeSnapshot frozen = ledger.snapshot();
      return () -> codec.write(frozen);
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

  /** Tells whether an error says that nothing was done. */
  static boolean isUnavailable(Throwable error) {
    return error instanceof PrimrosegaugeException known && known.kind() == ErrorKind.UNAVAILABLE;
  }
}
