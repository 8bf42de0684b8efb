package org.primrosegauge.node.log;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;
import org.primrosegauge.core.ErrorKind;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.PrimrosegaugeException;
import org.primrosegauge.core.Revision;
import org.primrosegauge.core.registry.AcceptedConfiguration;
import org.primrosegauge.core.registry.ContentDigest;
import org.primrosegauge.core.registry.HistoryEntry;
import org.primrosegauge.core.registry.JobRecord;
import org.primrosegauge.core.registry.RegistryCommand;
import org.primrosegauge.core.registry.RegistryResult;
import org.primrosegauge.node.transport.PeerTransport;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.util.retry.Retry;

/**
 * Access to the registry from any instance: proposals find the leader, and the view of an instance
 * that is no voter follows by asking others once a second for what is new.
 *
 * <p>Thread-safe. The view's version never goes back. Lifecycle: {@link #attach} on a voter, then
 * {@link #pull} at an interval on every other instance.
 *
 * @since 0.1
 */
public final class RegistryService {

  private static final Logger LOG = LoggerFactory.getLogger(RegistryService.class);
  private static final Duration ASK_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration PROPOSAL_TIMEOUT = Duration.ofSeconds(5);
  private static final Duration RETRY_PAUSE = Duration.ofMillis(150);

  /** Largest configuration, in bytes of its text. */
  public static final int MAX_CONTENT_BYTES = 4 * 1024 * 1024;

  private static final int PULLS_PER_VOTER_CHECK = 4;
  private static final int INFLATE_BUFFER_BYTES = 16 * 1024;

  private final InstanceId self;
  private final PeerTransport transport;
  private final List<InstanceId> voters;
  private final List<InstanceId> sources;
  private final RegistryCodec codec = new RegistryCodec();
  private final AtomicReference<RegistryView> view = new AtomicReference<>(RegistryView.NONE);
  private final List<Consumer<RegistryView>> listeners = new CopyOnWriteArrayList<>();
  private final AtomicInteger nextSource = new AtomicInteger();
  private final AtomicInteger nextVoter = new AtomicInteger();
  private final AtomicInteger pulls = new AtomicInteger();
  private volatile ReplicatedRegistry localReplica;
  private volatile InstanceId leaderHint;

  /**
   * Creates the service.
   *
   * @param voters instances that keep the log
   * @param all all instances of the site; equal on every one of them
   * @param neighbours other instances of the own failure domain, asked when no voter answers
   * @since 0.1
   */
  public RegistryService(
      InstanceId self,
      PeerTransport transport,
      List<InstanceId> voters,
      List<InstanceId> all,
      List<InstanceId> neighbours) {
    this.self = self;
    this.transport = transport;
    this.voters = List.copyOf(voters);
    this.sources = FanoutTree.of(voters, all).sources(self, neighbours);
    // Proposals start at different voters, so that these share the load.
    this.nextVoter.set(Math.floorMod(self.hashCode(), Math.max(1, voters.size())));
    transport.onAsk(RegistryMessage.Question.class, (from, question) -> handleRequest(question));
  }

  /**
   * Connects the log of a voter.
   *
   * @since 0.1
   */
  public void attach(ReplicatedRegistry duty) {
    localReplica = duty;
  }

  /**
   * Returns what this instance knows of the registry.
   *
   * @since 0.1
   */
  public RegistryView view() {
    return view.get();
  }

  /**
   * Returns the leader, as known; null when none is known.
   *
   * @since 0.1
   */
  public InstanceId leader() {
    return localReplica == null ? leaderHint : localReplica.leader();
  }

  /**
   * Adds a function that is told of each new view.
   *
   * @since 0.1
   */
  public void onView(Consumer<RegistryView> listener) {
    listeners.add(listener);
  }

  /**
   * Takes over a view if it is newer.
   *
   * @since 0.1
   */
  public void update(RegistryView newer) {
    RegistryView before = view.getAndUpdate(old -> newer.version() > old.version() ? newer : old);
    if (newer.version() > before.version()) {
      listeners.forEach(listener -> listener.accept(newer));
    }
  }

  /**
   * Proposes a command to the leader, wherever it is.
   *
   * @return the result once it is committed; UNAVAILABLE when it was not proposed; OUTCOME_UNKNOWN
   *     when it may have been
   * @since 0.1
   */
  public Mono<RegistryResult> propose(RegistryCommand command) {
    byte[] bytes = codec.write(command);
    AtomicBoolean maybeApplied = new AtomicBoolean();
    Mono<RegistryResult> once =
        Mono.defer(() -> proposeOnce(bytes, command))
            .doOnError(error -> maybeApplied.compareAndSet(false, isOutcomeUnknown(error)));
    return retryUntilLeaderAnswers(once)
        .onErrorMap(error -> maybeApplied.get() ? ReplicatedLog.outcomeUnknown() : error);
  }

  /**
   * Returns the latest changes of the configuration, oldest first.
   *
   * @since 0.1
   */
  public Mono<List<HistoryEntry>> history(int most) {
    ReplicatedRegistry own = localReplica;
    if (own != null) {
      return own.history(most);
    }
    return Flux.fromIterable(voters)
        .concatMap(
            voter ->
                transport
                    .ask(
                        voter,
                        new RegistryMessage.AskHistory(most),
                        RegistryMessage.History.class,
                        ASK_TIMEOUT)
                    .onErrorResume(error -> Mono.empty()))
        .next()
        .map(RegistryMessage.History::entries)
        .switchIfEmpty(Mono.error(RegistryService::noQuorum));
  }

  /**
   * Returns the job records of a home domain, as the leader has them.
   *
   * @since 0.1
   */
  public Mono<List<JobRecord>> jobs(FailureDomainId domain) {
    return retryUntilLeaderAnswers(Mono.defer(() -> jobsOnce(domain)));
  }

  /**
   * Asks its source for what is new. Does nothing on a voter, which has its own log.
   *
   * <p>The source is the parent in the {@link FanoutTree}, or the next one in its list after one
   * did not answer. Now and then a voter is asked instead: a parent that answers may itself be cut
   * off from the voters.
   *
   * @since 0.1
   */
  public void pull() {
    if (localReplica != null || sources.isEmpty()) {
      return;
    }
    boolean asksVoter = pulls.incrementAndGet() % PULLS_PER_VOTER_CHECK == 0 && !voters.isEmpty();
    if (asksVoter) {
      int at = nextVoter.get();
      pullFrom(voters.get(Math.floorMod(at, voters.size())), nextVoter, at);
    } else {
      int at = nextSource.get();
      pullFrom(sources.get(Math.floorMod(at, sources.size())), nextSource, at);
    }
  }

  private void pullFrom(InstanceId source, AtomicInteger cursor, int at) {
    RegistryView known = view.get();
    transport
        .ask(
            source,
            new RegistryMessage.Pull(known.version(), known.configuration().revision()),
            RegistryMessage.class,
            ASK_TIMEOUT)
        .subscribe(this::handlePullReply, error -> cursor.compareAndSet(at, at + 1));
  }

  private Mono<List<JobRecord>> jobsOnce(FailureDomainId domain) {
    ReplicatedRegistry own = localReplica;
    if (own != null && self.equals(own.leader())) {
      return own.jobs(domain);
    }
    return Flux.fromIterable(voters)
        .filter(voter -> !voter.equals(self))
        .concatMap(
            voter ->
                transport
                    .ask(
                        voter,
                        new RegistryMessage.AskJobs(domain),
                        RegistryMessage.Jobs.class,
                        ASK_TIMEOUT)
                    .onErrorResume(error -> Mono.empty()))
        .next()
        .map(RegistryMessage.Jobs::jobs)
        .switchIfEmpty(Mono.error(RegistryService::noQuorum));
  }

  private void handlePullReply(RegistryMessage answer) {
    if (!(answer instanceof RegistryMessage.View next)) {
      return;
    }
    try {
      AcceptedConfiguration configuration =
          next.content() == null
              ? view.get().configuration()
              : new AcceptedConfiguration(
                  next.revision(), new ContentDigest(next.digest()), inflate(next.content()));
      if (configuration.revision().equals(next.revision())) {
        update(new RegistryView(next.version(), configuration, next.switches(), next.offices()));
      }
    } catch (DataFormatException e) {
      LOG.warn("a view of the registry cannot be read", e);
    }
  }

  private Mono<RegistryResult> proposeOnce(byte[] bytes, RegistryCommand command) {
    ReplicatedRegistry own = localReplica;
    if (own != null && self.equals(own.leader())) {
      return own.propose(command);
    }
    InstanceId receiver = own != null ? own.leader() : leaderHint;
    if (receiver == null || receiver.equals(self)) {
      receiver = voters.get(Math.floorMod(nextVoter.getAndIncrement(), voters.size()));
    }
    InstanceId asked = receiver;
    return transport
        .ask(asked, new RegistryMessage.Propose(bytes), RegistryMessage.class, ASK_TIMEOUT)
        .doOnError(error -> leaderHint = null)
        .flatMap(answer -> readReply(asked, answer));
  }

  private Mono<RegistryResult> readReply(InstanceId asked, RegistryMessage answer) {
    if (answer instanceof RegistryMessage.Applied applied) {
      leaderHint = asked;
      return Mono.fromCallable(() -> codec.readResult(applied.result()));
    }
    if (answer instanceof RegistryMessage.NotApplied refused) {
      leaderHint = asked.equals(refused.leader()) ? null : refused.leader();
      return Mono.error(refused.outcomeUnknown() ? ReplicatedLog.outcomeUnknown() : noQuorum());
    }
    return Mono.error(noQuorum());
  }

  private Mono<RegistryMessage> handleRequest(RegistryMessage.Question question) {
    if (question instanceof RegistryMessage.Pull pull) {
      return Mono.just(replyToPull(pull));
    }
    ReplicatedRegistry own = localReplica;
    if (own == null) {
      return Mono.just(new RegistryMessage.NotApplied(leaderHint, false));
    }
    if (question instanceof RegistryMessage.Propose propose) {
      return handleProposal(own, propose);
    }
    if (question instanceof RegistryMessage.AskJobs ask) {
      return own.jobs(ask.domain())
          .<RegistryMessage>map(RegistryMessage.Jobs::new)
          .onErrorResume(error -> Mono.just(new RegistryMessage.NotApplied(own.leader(), false)));
    }
    return own.history(((RegistryMessage.AskHistory) question).most())
        .map(RegistryMessage.History::new);
  }

  private Mono<RegistryMessage> handleProposal(
      ReplicatedRegistry own, RegistryMessage.Propose propose) {
    return Mono.fromCallable(() -> codec.readCommand(propose.command()))
        .flatMap(own::propose)
        .<RegistryMessage>map(result -> new RegistryMessage.Applied(codec.write(result)))
        .onErrorResume(
            error ->
                Mono.just(new RegistryMessage.NotApplied(own.leader(), isOutcomeUnknown(error))));
  }

  private RegistryMessage replyToPull(RegistryMessage.Pull pull) {
    RegistryView mine = view.get();
    if (mine.version() <= pull.knownVersion()) {
      return new RegistryMessage.NothingNew();
    }
    AcceptedConfiguration configuration = mine.configuration();
    boolean known = configuration.revision().equals(pull.knownRevision());
    return new RegistryMessage.View(
        mine.version(),
        configuration.revision(),
        configuration.digest().value(),
        known ? null : deflate(configuration.content()),
        mine.switches(),
        mine.offices());
  }

  /** Tries again while no leader answers, for a bounded time. */
  private static <T> Mono<T> retryUntilLeaderAnswers(Mono<T> once) {
    return once.retryWhen(
            Retry.fixedDelay(Long.MAX_VALUE, RETRY_PAUSE).filter(RegistryService::isRetryable))
        .timeout(PROPOSAL_TIMEOUT, Mono.error(RegistryService::noQuorum));
  }

  /** Commands carry request ids, so one that may have been applied can be sent again, too. */
  private static boolean isRetryable(Throwable error) {
    return error instanceof PrimrosegaugeException known
        && (known.kind() == ErrorKind.UNAVAILABLE || known.kind() == ErrorKind.OUTCOME_UNKNOWN);
  }

  private static boolean isOutcomeUnknown(Throwable error) {
    return error instanceof PrimrosegaugeException known
        && known.kind() == ErrorKind.OUTCOME_UNKNOWN;
  }

  private static PrimrosegaugeException noQuorum() {
    return new PrimrosegaugeException(
        ErrorKind.UNAVAILABLE,
        "no quorum of the voters can be reached from here",
        "come back in a few seconds, or ask an instance on the other side of the cut",
        "");
  }

  static byte[] deflate(String content) {
    Deflater deflater = new Deflater(Deflater.BEST_SPEED);
    try {
      deflater.setInput(content.getBytes(StandardCharsets.UTF_8));
      deflater.finish();
      ByteArrayOutputStream out = new ByteArrayOutputStream();
      byte[] buffer = new byte[INFLATE_BUFFER_BYTES];
      while (!deflater.finished()) {
        out.write(buffer, 0, deflater.deflate(buffer));
      }
      return out.toByteArray();
    } finally {
      deflater.end();
    }
  }

  static String inflate(byte[] compressed) throws DataFormatException {
    Inflater inflater = new Inflater();
    try {
      inflater.setInput(compressed);
      ByteArrayOutputStream out = new ByteArrayOutputStream();
      byte[] buffer = new byte[INFLATE_BUFFER_BYTES];
      while (!inflater.finished()) {
        int length = inflater.inflate(buffer);
        if (length == 0 || out.size() + length > MAX_CONTENT_BYTES) {
          throw new DataFormatException("cut off or larger than " + MAX_CONTENT_BYTES + " bytes");
        }
        out.write(buffer, 0, length);
      }
      return out.toString(StandardCharsets.UTF_8);
    } finally {
      inflater.end();
    }
  }

  /**
   * Returns the revision in force on this instance.
   *
   * @since 0.1
   */
  public Revision inForce() {
    return view.get().configuration().revision();
  }
}
