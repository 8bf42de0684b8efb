package org.primrosegauge.node.job;

import java.time.Duration;
import java.util.List;
import java.util.UUID;
import org.primrosegauge.core.ConflictException;
import org.primrosegauge.core.CustomerId;
import org.primrosegauge.core.ErrorKind;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.JobId;
import org.primrosegauge.core.PrimrosegaugeException;
import org.primrosegauge.core.job.HomeDomains;
import org.primrosegauge.core.job.JobLedger;
import org.primrosegauge.core.job.JobSpec;
import org.primrosegauge.core.security.AccessPolicy;
import org.primrosegauge.core.security.Operation;
import org.primrosegauge.node.http.HttpApi;
import org.primrosegauge.node.http.HttpExchange;
import org.primrosegauge.node.membership.Membership;
import org.primrosegauge.node.transport.PeerTransport;
import org.primrosegauge.wire.api.JobSubmission;
import org.primrosegauge.wire.api.JobView;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Callers' interface for jobs. Any instance takes a call and asks the keeper of the job's home
 * domain, which alone decides.
 *
 * <p>Thread-safe: it keeps no state.
 *
 * @since 0.1
 */
public final class JobApi {

  private static final int MAX_SUBMISSION_BYTES = 16 * 1024;
  private static final int MAX_LISTED = 1_000;
  private static final long MAX_WAIT_MILLIS = 60_000;
  private static final Duration ASK_TIMEOUT = Duration.ofSeconds(3);
  private static final Duration WATCH_INTERVAL = Duration.ofMillis(100);
  private static final int ACCEPTED = 202;
  private static final int OK = 200;
  private static final int RANDOM_CHARACTERS = 12;

  private final Membership membership;
  private final PeerTransport transport;

  /**
   * Creates the interface.
   *
   * @since 0.1
   */
  public JobApi(Membership membership, PeerTransport transport) {
    this.membership = membership;
    this.transport = transport;
  }

  /**
   * Adds the routes.
   *
   * @since 0.1
   */
  public void addTo(HttpApi http) {
    http.route(HttpApi.Method.POST, "/v1/jobs", this::submit)
        .route(HttpApi.Method.GET, "/v1/jobs", this::list)
        .route(HttpApi.Method.GET, "/v1/jobs/{id}", this::show)
        .route(HttpApi.Method.DELETE, "/v1/jobs/{id}", this::cancel);
  }

  // Handlers

  private Mono<Void> submit(HttpExchange exchange) {
    String key = exchange.header("Idempotency-Key", null);
    return exchange
        .json(JobSubmission.class, MAX_SUBMISSION_BYTES)
        .flatMap(submission -> toSpec(submission, key))
        .flatMap(spec -> allowed(exchange, spec))
        .flatMap(spec -> ask(spec.id(), new JobMessage.Submit(spec)))
        .flatMap(view -> answered(exchange, view))
        .flatMap(view -> exchange.sendJson(ACCEPTED, view));
  }

  private Mono<Void> show(HttpExchange exchange) throws PrimrosegaugeException {
    JobId id = jobId(exchange);
    long waitMillis = exchange.queryNumber("waitMillis", 0, MAX_WAIT_MILLIS);
    Mono<JobView> once = own(exchange, Operation.READ_JOB, id);
    Mono<JobView> answer = waitMillis == 0 ? once : untilFinal(once, Duration.ofMillis(waitMillis));
    return answer.flatMap(view -> exchange.sendJson(OK, view));
  }

  private Mono<Void> cancel(HttpExchange exchange) throws PrimrosegaugeException {
    JobId id = jobId(exchange);
    return own(exchange, Operation.CANCEL_JOB, id)
        .then(Mono.defer(() -> ask(id, new JobMessage.Cancel(id))))
        .flatMap(view -> exchange.sendJson(ACCEPTED, view));
  }

  private Mono<Void> list(HttpExchange exchange) {
    return Flux.fromIterable(membership.domains())
        .flatMap(domain -> askDomain(domain, new JobMessage.ListAll(MAX_LISTED)))
        .onErrorContinue((error, domain) -> {})
        .ofType(JobMessage.FoundAll.class)
        .flatMapIterable(JobMessage.FoundAll::jobs)
        .filter(view -> AccessPolicy.allows(exchange.caller(), Operation.READ_JOB, owner(view)))
        .sort((a, b) -> a.id().compareTo(b.id()))
        .collectList()
        .flatMap(jobs -> exchange.sendJson(OK, new JobList(jobs)));
  }

  // Internals

  /** Body of the answer to a list. */
  private record JobList(List<JobView> jobs) {}

  private static Mono<JobSpec> allowed(HttpExchange exchange, JobSpec spec) {
    return Mono.fromCallable(
        () -> {
          AccessPolicy.check(exchange.caller(), Operation.SUBMIT_JOB, spec.customer());
          return spec;
        });
  }

  /** A key that another customer's job has gets no answer about that job. */
  private static Mono<JobView> answered(HttpExchange exchange, JobView view) {
    return AccessPolicy.allows(exchange.caller(), Operation.SUBMIT_JOB, owner(view))
        ? Mono.just(view)
        : Mono.error(
            new ConflictException(
                "the id is in use", "use another idempotency key", "header Idempotency-Key"));
  }

  /** Returns a job if the caller may see it; another customer's job looks absent. */
  private Mono<JobView> own(HttpExchange exchange, Operation operation, JobId id) {
    return ask(id, new JobMessage.Show(id))
        .flatMap(
            view ->
                Mono.fromCallable(
                    () -> {
                      AccessPolicy.checkJob(
                          exchange.caller(),
                          operation,
                          owner(view),
                          JobLedger.notFound(id, view.domain()));
                      return view;
                    }));
  }

  private static CustomerId owner(JobView view) {
    return new CustomerId(view.customer());
  }

  private static JobId jobId(HttpExchange exchange) throws PrimrosegaugeException {
    return JobId.parse(exchange.pathPart("id"), "path");
  }

  private Mono<JobSpec> toSpec(JobSubmission submission, String idempotencyKey) {
    return Mono.fromCallable(
        () -> {
          JobId made =
              idempotencyKey == null
                  ? HomeDomains.jobIdWithHome(membership.bestDomain(), randomName())
                  : JobId.parse(idempotencyKey, "header Idempotency-Key");
          return submission.toSpec(made);
        });
  }

  private static String randomName() {
    return UUID.randomUUID().toString().replace("-", "").substring(0, RANDOM_CHARACTERS);
  }

  private Mono<JobView> ask(JobId job, JobMessage.Question question) {
    return Mono.defer(
        () ->
            HomeDomains.homeOf(job, membership.domains())
                .map(domain -> askDomain(domain, question))
                .orElseGet(() -> Mono.error(noDomain()))
                .cast(JobMessage.Found.class)
                .map(JobMessage.Found::job));
  }

  private Mono<JobMessage> askDomain(FailureDomainId domain, JobMessage.Question question) {
    InstanceId receiver = membership.keeperOf(domain).orElse(null);
    boolean reads = question instanceof JobMessage.Show || question instanceof JobMessage.ListAll;
    if (receiver == null && reads) {
      // Every instance of the domain has the records that the last keeper handed on.
      receiver = membership.membersOf(domain).get(0);
    }
    if (receiver == null) {
      return Mono.error(noKeeper(domain));
    }
    return transport
        .ask(receiver, question, JobMessage.class, ASK_TIMEOUT)
        .flatMap(
            answer ->
                answer instanceof JobMessage.Refused refused
                    ? Mono.error(refused.toException())
                    : Mono.just(answer));
  }

  /** Asks again until the answer is final or the time is over. */
  private static Mono<JobView> untilFinal(Mono<JobView> once, Duration most) {
    return once.repeatWhen(rounds -> rounds.delayElements(WATCH_INTERVAL))
        .takeUntil(JobView::isFinal)
        .take(most)
        .last()
        .onErrorResume(java.util.NoSuchElementException.class, late -> once);
  }

  private static PrimrosegaugeException noKeeper(FailureDomainId domain) {
    return new PrimrosegaugeException(
        ErrorKind.UNAVAILABLE,
        "no keeper of failure domain " + domain + " is known here",
        "come back in a few seconds, or ask an instance of that failure domain",
        "");
  }

  private static PrimrosegaugeException noDomain() {
    return new PrimrosegaugeException(
        ErrorKind.UNAVAILABLE, "no failure domain is configured", "list peers in the settings", "");
  }
}
