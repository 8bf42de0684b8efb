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
 * Access to the registry from any instance. Proposals are forwarded to the leader. An instance that
 * is not a voter polls other instances once a second for updates of its view.
 *
 * <p>Thread-safe. The version of the view never decreases. Lifecycle: {@link #attach} on a voter,
 * then {@link #pull} at a fixed interval on every other instance.
 *
 * @since 0.1
 */
public final class RegistryService {

  private static final Logger LOG = LoggerFactory.getLogger(RegistryService.class);
  private static final Duration ASK_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration PROPOSAL_TIMEOUT = Duration.ofSeconds(5);
  private static final Duration RETRY_PAUSE = Duration.ofMillis(150);

  /** Maximum size of the configuration text, in bytes. */
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
   * @param voters voters of the replicated log
   * @param all all instances of the site; must be equal on all of them
   * @param neighbours other instances in the failure domain of this instance, which are asked if no
   *     voter replies
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
    // Instances send their first proposals to different voters to spread the load.
    this.nextVoter.set(Math.floorMod(self.hashCode(), Math.max(1, voters.size())));
    transport.onAsk(RegistryMessage.Question.class, (from, request) -> handleRequest(request));
  }

  /**
   * Attaches the local replica of a voter.
   *
   * @since 0.1
   */
  public void attach(ReplicatedRegistry replica) {
    localReplica = replica;
  }

  /**
   * Returns the current view of the registry on this instance.
   *
   * @since 0.1
   */
  public RegistryView view() {
    return view.get();
  }

  /**
   * Returns the last known leader; null if none is known.
   *
   * @since 0.1
   */
  public InstanceId leader() {
    return localReplica == null ? leaderHint : localReplica.leader();
  }

  /**
   * Adds a listener that is called with each new view.
   *
   * @since 0.1
   */
  public void onView(Consumer<RegistryView> listener) {
    listeners.add(listener);
  }

  /**
   * Replaces the view if the given one is newer.
   *
   * @since 0.1
   */
  public void update(RegistryView candidate) {
    RegistryView before =
        view.getAndUpdate(old -> candidate.version() > old.version() ? candidate : old);
    if (candidate.version() > before.version()) {
      listeners.forEach(listener -> listener.accept(candidate));
    }
  }

  /**
   * Proposes a command to the leader, which may be any voter.
   *
   * @return the result once the command is committed; an error of kind UNAVAILABLE if the command
   *     was not proposed, or OUTCOME_UNKNOWN if it may have been
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
   * Returns the latest configuration changes, oldest first.
   *
   * @since 0.1
   */
  public Mono<List<HistoryEntry>> history(int maxEntries) {
    ReplicatedRegistry local = localReplica;
    if (local != null) {
      return local.history(maxEntries);
    }
    return Flux.fromIterable(voters)
        .concatMap(
            voter ->
                transport
                    .ask(
                        voter,
                        new RegistryMessage.AskHistory(maxEntries),
                        RegistryMessage.History.class,
                        ASK_TIMEOUT)
                    .onErrorResume(error -> Mono.empty()))
        .next()
        .map(RegistryMessage.History::entries)
        .switchIfEmpty(Mono.error(RegistryService::noQuorum));
  }

  /**
   * Returns the job records of a home domain as known to the leader.
   *
   * @since 0.1
   */
  public Mono<List<JobRecord>> jobs(FailureDomainId domain) {
    return retryUntilLeaderAnswers(Mono.defer(() -> jobsOnce(domain)));
  }

  /**
   * Requests an update of the view from another instance. Does nothing on a voter, whose view is
   * updated by its own log.
   *
   * <p>The instance asked is the parent in the {@link FanoutTree}, or the next one of the sources
   * if a request failed. Every {@code PULLS_PER_VOTER_CHECK}th request goes to a voter instead,
   * because a parent that replies may itself be disconnected from the voters.
   *
   * @since 0.1
   */
  public void pull() {
    if (localReplica != null || sources.isEmpty()) {
      return;
    }
    boolean asksVoter = pulls.incrementAndGet() % PULLS_PER_VOTER_CHECK == 0 && !voters.isEmpty();
    if (asksVoter) {
      int position = nextVoter.get();
      pullFrom(voters.get(Math.floorMod(position, voters.size())), nextVoter, position);
    } else {
      int position = nextSource.get();
      pullFrom(sources.get(Math.floorMod(position, sources.size())), nextSource, position);
    }
  }

  private void pullFrom(InstanceId source, AtomicInteger cursor, int position) {
    RegistryView current = view.get();
    transport
        .ask(
            source,
            new RegistryMessage.Pull(current.version(), current.configuration().revision()),
            RegistryMessage.class,
            ASK_TIMEOUT)
        .subscribe(this::handlePullReply, error -> cursor.compareAndSet(position, position + 1));
  }

  private Mono<List<JobRecord>> jobsOnce(FailureDomainId domain) {
    ReplicatedRegistry local = localReplica;
    if (local != null && self.equals(local.leader())) {
      return local.jobs(domain);
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

  private void handlePullReply(RegistryMessage reply) {
    if (!(reply instanceof RegistryMessage.View received)) {
      return;
    }
    try {
      AcceptedConfiguration configuration =
          received.content() == null
              ? view.get().configuration()
              : new AcceptedConfiguration(
                  received.revision(),
                  new ContentDigest(received.digest()),
                  inflate(received.content()));
      if (configuration.revision().equals(received.revision())) {
        update(
            new RegistryView(
                received.version(), configuration, received.switches(), received.offices()));
      }
    } catch (DataFormatException e) {
      LOG.warn("received view of the registry cannot be decoded; keeping the previous one", e);
    }
  }

  private Mono<RegistryResult> proposeOnce(byte[] bytes, RegistryCommand command) {
    ReplicatedRegistry local = localReplica;
    if (local != null && self.equals(local.leader())) {
      return local.propose(command);
    }
    InstanceId receiver = local != null ? local.leader() : leaderHint;
    if (receiver == null || receiver.equals(self)) {
      receiver = voters.get(Math.floorMod(nextVoter.getAndIncrement(), voters.size()));
    }
    InstanceId asked = receiver;
    return transport
        .ask(asked, new RegistryMessage.Propose(bytes), RegistryMessage.class, ASK_TIMEOUT)
        .doOnError(error -> leaderHint = null)
        .flatMap(reply -> readReply(asked, reply));
  }

  private Mono<RegistryResult> readReply(InstanceId asked, RegistryMessage reply) {
    if (reply instanceof RegistryMessage.Applied applied) {
      leaderHint = asked;
      return Mono.fromCallable(() -> codec.readResult(applied.result()));
    }
    if (reply instanceof RegistryMessage.NotApplied refused) {
      leaderHint = asked.equals(refused.leader()) ? null : refused.leader();
      return Mono.error(refused.outcomeUnknown() ? ReplicatedLog.outcomeUnknown() : noQuorum());
    }
    return Mono.error(noQuorum());
  }

  private Mono<RegistryMessage> handleRequest(RegistryMessage.Question request) {
    if (request instanceof RegistryMessage.Pull pull) {
      return Mono.just(replyToPull(pull));
    }
    ReplicatedRegistry local = localReplica;
    if (local == null) {
      return Mono.just(new RegistryMessage.NotApplied(leaderHint, false));
    }
    if (request instanceof RegistryMessage.Propose propose) {
      return handleProposal(local, propose);
    }
    if (request instanceof RegistryMessage.AskJobs ask) {
      return local
          .jobs(ask.domain())
          .<RegistryMessage>map(RegistryMessage.Jobs::new)
          .onErrorResume(error -> Mono.just(new RegistryMessage.NotApplied(local.leader(), false)));
    }
    return local
        .history(((RegistryMessage.AskHistory) request).most())
        .map(RegistryMessage.History::new);
  }

  private Mono<RegistryMessage> handleProposal(
      ReplicatedRegistry local, RegistryMessage.Propose propose) {
    return Mono.fromCallable(() -> codec.readCommand(propose.command()))
        .flatMap(local::propose)
        .<RegistryMessage>map(result -> new RegistryMessage.Applied(codec.write(result)))
        .onErrorResume(
            error ->
                Mono.just(new RegistryMessage.NotApplied(local.leader(), isOutcomeUnknown(error))));
  }

  private RegistryMessage replyToPull(RegistryMessage.Pull pull) {
    RegistryView current = view.get();
    if (current.version() <= pull.knownVersion()) {
      return new RegistryMessage.NothingNew();
    }
    AcceptedConfiguration configuration = current.configuration();
    boolean hasConfiguration = configuration.revision().equals(pull.knownRevision());
    return new RegistryMessage.View(
        current.version(),
        configuration.revision(),
        configuration.digest().value(),
        hasConfiguration ? null : deflate(configuration.content()),
        current.switches(),
        current.offices());
  }

  /** Retries until a leader replies, for a bounded time. */
  private static <T> Mono<T> retryUntilLeaderAnswers(Mono<T> once) {
    return once.retryWhen(
            Retry.fixedDelay(Long.MAX_VALUE, RETRY_PAUSE).filter(RegistryService::isRetryable))
        .timeout(PROPOSAL_TIMEOUT, Mono.error(RegistryService::noQuorum));
  }

  /**
   * Commands are idempotent by their request ids, so even one that may have been applied can be
   * retried.
   */
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
        "no quorum of the voters can be reached from this instance",
        "retry in a few seconds, or use an instance on the majority side of the network partition",
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
          throw new DataFormatException("truncated or larger than " + MAX_CONTENT_BYTES + " bytes");
        }
        out.write(buffer, 0, length);
      }
      return out.toString(StandardCharsets.UTF_8);
    } finally {
      inflater.end();
    }
  }

  /**
   * Returns the configuration revision in force on this instance.
   *
   * @since 0.1
   */
  public Revision inForce() {
    return view.get().configuration().revision();
  }
}
