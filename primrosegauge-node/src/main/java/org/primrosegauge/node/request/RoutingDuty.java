package org.primrosegauge.node.request;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.primrosegauge.core.ExecutionStatus;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.RequestId;
import org.primrosegauge.core.ServiceId;
import org.primrosegauge.core.TargetId;
import org.primrosegauge.core.request.AttemptId;
import org.primrosegauge.core.request.AttemptOutcome;
import org.primrosegauge.core.request.ClaimStore;
import org.primrosegauge.core.request.CountedReason;
import org.primrosegauge.core.request.DropReason;
import org.primrosegauge.core.request.PeerLoad;
import org.primrosegauge.core.request.RefusalReason;
import org.primrosegauge.core.request.RequestAction;
import org.primrosegauge.core.request.RequestDescription;
import org.primrosegauge.core.request.RequestRouter;
import org.primrosegauge.core.request.RetryReason;
import org.primrosegauge.core.request.TargetAnnouncement;
import org.primrosegauge.core.request.TargetLoad;
import org.primrosegauge.core.site.Service;
import org.primrosegauge.core.site.SiteConfiguration;
import org.primrosegauge.node.duty.Duty;
import org.primrosegauge.node.duty.MonotonicClock;
import org.primrosegauge.node.metrics.NodeMetrics;
import org.primrosegauge.node.transport.PeerTransport;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

/**
 * Owns the request router and carries out its actions.
 *
 * <p>All state is touched by the thread of the duty only; public methods may be called by any
 * thread and hand their work over through the duty's ring. A full ring refuses new requests.
 * Outcomes of attempts are never refused, or slots would stay taken: they are offered again until
 * there is room.
 *
 * <p>Life-cycle: create, {@link #start}, {@link #drain} for a graceful end, {@link #close}.
 *
 * @since 0.1
 */
public final class RoutingDuty implements AutoCloseable {

  private static final Logger LOG = LoggerFactory.getLogger(RoutingDuty.class);
  private static final int RING_CAPACITY = 8_192;
  private static final long TICK_MILLIS = 100;
  private static final Duration RING_RETRY = Duration.ofMillis(1);
  private static final Duration IDLE_CHECK = Duration.ofMillis(10);
  private static final String WHERE = "requests";

  /** A request whose caller waits. */
  private record Waiting(
      RequestDescription description, RequestBody body, MonoSink<RequestResult> caller) {}

  private final InstanceId self;
  private final RoutingSettings settings;
  private final MonotonicClock clock;
  private final NodeMetrics metrics;
  private final ClaimStore claims;
  private final PeerTransport transport;
  private final Supplier<List<InstanceId>> peers;
  private final RequestRouter router;
  private final ExecutorClient executors = new ExecutorClient();
  private final PeerForwarder forwarder;
  private final Duty duty;

  private final Map<RequestId, Waiting> waiting = new HashMap<>();
  private final Map<AttemptId, Disposable> running = new HashMap<>();
  private final Map<AttemptId, WholeAnswer> answers = new HashMap<>();
  private volatile Map<ServiceId, Service> services = Map.of();
  private volatile int attached;
  private volatile boolean closed;
  private long nextOfferMillis;

  /**
   * Creates a duty that knows no service.
   *
   * @param self this instance
   * @param home failure domain of this instance
   * @param settings settings
   * @param clock clock of deadlines and leases
   * @param metrics counters
   * @param claims record of idempotency keys
   * @param transport connections to the peers
   * @param peers all other instances
   * @since 0.1
   */
  public RoutingDuty(
      InstanceId self,
      FailureDomainId home,
      RoutingSettings settings,
      MonotonicClock clock,
      NodeMetrics metrics,
      ClaimStore claims,
      PeerTransport transport,
      Supplier<List<InstanceId>> peers) {
    this.self = self;
    this.settings = settings;
    this.clock = clock;
    this.metrics = metrics;
    this.claims = claims;
    this.transport = transport;
    this.peers = peers;
    router = new RequestRouter(home, settings.router(), new Random(self.hashCode()));
    forwarder = new PeerForwarder(transport, metrics);
    duty =
        new Duty("routing", RING_CAPACITY, TICK_MILLIS, clock, this::tick, router::nextWakeMillis);
  }

  // Life-cycle

  /**
   * Starts the thread and takes messages of peers.
   *
   * @since 0.1
   */
  public void start() {
    transport.onTell(
        RequestMessage.Offers.class, (from, offers) -> insist(() -> takeOffers(offers)));
    duty.start();
  }

  /**
   * Refuses new requests from now on and waits for those in flight.
   *
   * @param most longest wait
   * @return whether all ended in time
   * @since 0.1
   */
  public Mono<Boolean> drain(Duration most) {
    insist(router::drain);
    return Mono.delay(IDLE_CHECK)
        .then(duty.ask(router::isIdle).onErrorReturn(false))
        .repeat()
        .filter(idle -> idle)
        .next()
        .timeout(most, Mono.just(false));
  }

  @Override
  public void close() {
    closed = true;
    duty.close();
    executors.close();
  }

  // Accessors

  /**
   * Returns the configuration of a service.
   *
   * @since 0.1
   */
  public Optional<Service> service(ServiceId id) {
    return Optional.ofNullable(services.get(id));
  }

  /**
   * Returns the number of executors attached to this instance, at the last tick.
   *
   * @since 0.1
   */
  public int attachedExecutors() {
    return attached;
  }

  /**
   * Returns the executors attached to this instance.
   *
   * @since 0.1
   */
  public Mono<List<TargetLoad>> targets() {
    return duty.ask(() -> router.targets(clock.nowMillis()));
  }

  /**
   * Returns the settings.
   *
   * @since 0.1
   */
  public RoutingSettings settings() {
    return settings;
  }

  // Main API

  /**
   * Takes over a configuration.
   *
   * @since 0.1
   */
  public void configured(SiteConfiguration site) {
    insist(
        () -> {
          services =
              site.services().stream()
                  .collect(Collectors.toUnmodifiableMap(Service::id, Function.identity()));
          carryOut(router.configured(site, clock.nowMillis()));
        });
  }

  /**
   * Takes over what operators took out of service.
   *
   * @since 0.1
   */
  public void outOfService(Set<FailureDomainId> domains, Set<TargetId> targets) {
    insist(() -> carryOut(router.outOfService(domains, targets, clock.nowMillis())));
  }

  /**
   * Takes in an announcement of an executor.
   *
   * @param announcement announcement
   * @return whether its service is known
   * @since 0.1
   */
  public Mono<Boolean> announced(TargetAnnouncement announcement) {
    return duty.ask(
        () -> {
          boolean known = services.containsKey(announcement.service());
          if (!known) {
            metrics.refused("executors", RoutingEvent.UNKNOWN_SERVICE);
          }
          carryOut(router.announced(announcement, clock.nowMillis()));
          return known;
        });
  }

  /**
   * Gets a request answered.
   *
   * @return the final answer; cancelling it means that the caller went away
   */
  Mono<RequestResult> submit(RequestDescription description, RequestBody body) {
    return Mono.create(
        caller -> {
          caller.onCancel(() -> insist(() -> callerGone(description.id())));
          if (!duty.offer(() -> receive(new Waiting(description, body, caller)))) {
            metrics.refused(WHERE, RoutingEvent.RING_FULL);
            caller.success(
                new RequestResult.Refused(
                    description.id(),
                    RefusalReason.QUEUE_FULL,
                    ExecutionStatus.NOT_RUN,
                    settings.router().retryAfterMillis()));
          }
        });
  }

  // Internals, on the thread of the duty

  private void receive(Waiting request) {
    waiting.put(request.description().id(), request);
    carryOut(router.received(request.description(), clock.nowMillis()));
  }

  private void callerGone(RequestId id) {
    if (waiting.remove(id) != null) {
      carryOut(router.callerGone(id, clock.nowMillis()));
    }
  }

  private void tick(long nowMillis) {
    carryOut(router.tick(nowMillis));
    if (nowMillis >= nextOfferMillis) {
      nextOfferMillis = nowMillis + settings.offerMillis();
      attached = router.targets(nowMillis).size();
      RequestMessage.Offers offers = new RequestMessage.Offers(router.offers(self, nowMillis));
      peers.get().forEach(peer -> transport.tell(peer, offers));
    }
  }

  private void takeOffers(RequestMessage.Offers offers) {
    for (PeerLoad load : offers.loads()) {
      carryOut(router.peerLoad(load, clock.nowMillis()));
    }
  }

  private void carryOut(List<RequestAction> actions) {
    for (RequestAction action : actions) {
      carryOut(action);
    }
  }

  private void carryOut(RequestAction action) {
    if (action instanceof RequestAction.Dispatch dispatch) {
      dispatch(dispatch);
    } else if (action instanceof RequestAction.Forward forward) {
      forward(forward);
    } else if (action instanceof RequestAction.Abandon abandon) {
      abandon(abandon.attempt());
    } else if (action instanceof RequestAction.Deliver deliver) {
      deliver(deliver.attempt());
    } else if (action instanceof RequestAction.Fail fail) {
      fail(fail);
    } else if (action instanceof RequestAction.Claim claim) {
      claim(claim);
    } else if (action instanceof RequestAction.Settle settle) {
      claims.settle(settle.request(), settle.claim(), settle.execution());
    } else if (action instanceof RequestAction.Count count) {
      count(count.reason());
    }
  }

  private void dispatch(RequestAction.Dispatch dispatch) {
    AttemptId attempt = dispatch.attempt();
    Waiting request = waiting.get(attempt.request());
    Service service = services.get(request.description().service());
    int maxAnswerBytes = service == null ? 0 : service.maxBodyBytes();
    long remaining = dispatch.deadlineMillis() - clock.nowMillis();
    run(
        attempt,
        executors.send(dispatch.address(), attempt, request.body(), maxAnswerBytes, remaining));
  }

  private void forward(RequestAction.Forward forward) {
    AttemptId attempt = forward.attempt();
    Waiting request = waiting.get(attempt.request());
    long remaining = forward.deadlineMillis() - clock.nowMillis();
    run(
        attempt,
        forwarder.send(forward.peer(), attempt, request.description(), request.body(), remaining));
  }

  /** The entry is made before the subscription, which may bring the result at once. */
  private void run(AttemptId attempt, Mono<AttemptResult> sending) {
    Disposable.Swap handle = Disposables.swap();
    running.put(attempt, handle);
    handle.update(sending.subscribe(result -> insist(() -> ended(attempt, result))));
  }

  private void ended(AttemptId attempt, AttemptResult result) {
    if (running.remove(attempt) == null) {
      return;
    }
    if (result.outcome() == AttemptOutcome.ANSWERED) {
      answers.put(attempt, result.answer());
    }
    carryOut(router.ended(attempt, result.outcome(), clock.nowMillis()));
    answers.remove(attempt);
  }

  private void abandon(AttemptId attempt) {
    Disposable abandoned = running.get(attempt);
    if (abandoned != null) {
      abandoned.dispose();
      // Reported after the actions at hand, since the router is not to be called in between.
      insist(() -> ended(attempt, AttemptResult.without(AttemptOutcome.CONNECTION_LOST)));
    }
  }

  private void deliver(AttemptId attempt) {
    Waiting request = waiting.remove(attempt.request());
    if (request != null) {
      request.caller().success(new RequestResult.Answered(attempt, answers.get(attempt)));
    }
  }

  private void fail(RequestAction.Fail fail) {
    Waiting request = waiting.remove(fail.request());
    if (request != null) {
      LOG.atDebug()
          .addKeyValue("request", fail.request())
          .addKeyValue("customer", request.description().customer())
          .addKeyValue("reason", fail.reason().label())
          .log("request refused");
      request
          .caller()
          .success(
              new RequestResult.Refused(
                  fail.request(), fail.reason(), fail.execution(), fail.retryAfterMillis()));
    }
  }

  private void claim(RequestAction.Claim claim) {
    claims.claim(
        claim.request(),
        claim.claim(),
        result ->
            insist(
                () ->
                    carryOut(
                        router.claimed(
                            claim.request(), claim.claim(), result, clock.nowMillis()))));
  }

  private void count(CountedReason reason) {
    if (reason instanceof RefusalReason refusal) {
      metrics.refused(WHERE, refusal);
    } else if (reason instanceof RetryReason retry) {
      metrics.retried(WHERE, retry);
    } else if (reason instanceof DropReason drop) {
      metrics.count("primrosegauge.drops", WHERE, drop);
    }
  }

  /** Hands over what must not get lost while the duty runs. */
  private void insist(Runnable task) {
    if (!duty.offer(task) && !closed) {
      Mono.delay(RING_RETRY).subscribe(passed -> insist(task));
    }
  }
}
