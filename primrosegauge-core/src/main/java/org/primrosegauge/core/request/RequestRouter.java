package org.primrosegauge.core.request;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.primrosegauge.core.CustomerId;
import org.primrosegauge.core.ExecutionStatus;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.RequestId;
import org.primrosegauge.core.ServiceId;
import org.primrosegauge.core.TargetId;
import org.primrosegauge.core.request.cfg.RouterSettings;
import org.primrosegauge.core.request.impl.ActiveRequest;
import org.primrosegauge.core.request.impl.Admission;
import org.primrosegauge.core.request.impl.CustomerShare;
import org.primrosegauge.core.request.impl.Dispatcher;
import org.primrosegauge.core.request.impl.Finisher;
import org.primrosegauge.core.request.impl.Outbox;
import org.primrosegauge.core.request.impl.RequestState;
import org.primrosegauge.core.request.impl.ServicePool;
import org.primrosegauge.core.request.impl.TargetState;
import org.primrosegauge.core.request.impl.WakeQueue;
import org.primrosegauge.core.site.SiteConfiguration;

/**
 * State machine of the service requests that one instance received.
 *
 * <p>Each request gets exactly one final action, {@link RequestAction.Deliver} or {@link
 * RequestAction.Fail}, unless its caller went away. An executor never has more open attempts than
 * slots and connections. "Not run" is said only if no target can have begun the work.
 *
 * <p>Not thread-safe: one thread owns a router. Every method takes the present in milliseconds of a
 * monotonic clock and returns what is to be done, in order. {@link #tick} has to be called at
 * {@link #nextWakeMillis} or earlier.
 *
 * @since 0.1
 */
public final class RequestRouter {

  private final RouterSettings settings;
  private final FailureDomainId home;
  private final RandomGenerator random;

  private final Map<ServiceId, ServicePool> pools = new HashMap<>();
  private final Map<CustomerId, Integer> weights = new HashMap<>();
  private final Set<FailureDomainId> domainsOut = new HashSet<>();
  private final Set<TargetId> targetsOut = new HashSet<>();
  private final WakeQueue wakes = new WakeQueue();
  private final Outbox outbox = new Outbox();
  private final Finisher finisher;
  private final Dispatcher dispatcher;
  private long received;
  private boolean draining;

  /**
   * Creates a router that knows no service.
   *
   * @param home failure domain of this instance; its peers are preferred
   * @param settings settings
   * @param random seeded source for ties and jitter
   * @since 0.1
   */
  public RequestRouter(FailureDomainId home, RouterSettings settings, RandomGenerator random) {
    this.home = Objects.requireNonNull(home);
    this.settings = Objects.requireNonNull(settings);
    this.random = Objects.requireNonNull(random);
    finisher = new Finisher(settings, outbox, wakes);
    dispatcher = new Dispatcher(settings, random, outbox, finisher, wakes);
  }

  // Accessors

  /**
   * Tells whether no request waits and no attempt is open.
   *
   * @since 0.1
   */
  public boolean isIdle() {
    return finisher.requests().isEmpty() && !dispatcher.hasOpenAttempts();
  }

  /**
   * Returns when a deadline, a retry or the end of a lease is due, in milliseconds; {@link
   * Long#MAX_VALUE} for never. Probes need a tick now and then besides.
   *
   * @since 0.1
   */
  public long nextWakeMillis() {
    return wakes.nextMillis();
  }

  /**
   * Returns the executors that are attached to this instance.
   *
   * @param nowMillis present
   * @since 0.1
   */
  public List<TargetLoad> targets(long nowMillis) {
    return pools.values().stream()
        .flatMap(pool -> pool.targets().values().stream())
        .map(target -> target.load(nowMillis))
        .toList();
  }

  /**
   * Returns what this instance can offer to its peers for each service it has executors of.
   *
   * @param self this instance
   * @param nowMillis present
   * @since 0.1
   */
  public List<PeerLoad> offers(InstanceId self, long nowMillis) {
    List<PeerLoad> offers = new ArrayList<>();
    pools.forEach((id, pool) -> offers.add(offer(self, id, pool, nowMillis)));
    return offers;
  }

  private PeerLoad offer(InstanceId self, ServiceId id, ServicePool pool, long nowMillis) {
    boolean closed = draining || pool.queue().hasReady();
    int free = closed ? 0 : pool.freeSlots(nowMillis);
    return new PeerLoad(self, home, id, free, draining ? 0 : pool.totalSlots(nowMillis));
  }

  // Configuration

  /**
   * Takes over a configuration. Requests of services that are gone go on.
   *
   * @since 0.1
   */
  public List<RequestAction> configured(SiteConfiguration site, long nowMillis) {
    weights.clear();
    site.customers().forEach(customer -> weights.put(customer.id(), customer.requestShare()));
    site.services()
        .forEach(
            service ->
                pools
                    .computeIfAbsent(
                        service.id(),
                        id -> new ServicePool(service, home, settings, random, nowMillis))
                    .configure(service));
    return outbox.take();
  }

  /**
   * Takes over what operators took out of service; executors there get nothing new.
   *
   * @param domains failure domains that are out
   * @param targets single executors that are out
   * @param nowMillis present
   * @since 0.1
   */
  public List<RequestAction> outOfService(
      Set<FailureDomainId> domains, Set<TargetId> targets, long nowMillis) {
    domainsOut.clear();
    domainsOut.addAll(domains);
    targetsOut.clear();
    targetsOut.addAll(targets);
    for (ServicePool pool : pools.values()) {
      pool.targets().values().stream().filter(this::isOut).forEach(TargetState::markLeaving);
      dispatcher.pump(pool, nowMillis);
    }
    return outbox.take();
  }

  private boolean isOut(TargetState target) {
    return domainsOut.contains(target.announcement().domain()) || targetsOut.contains(target.id());
  }

  /**
   * Refuses new requests from now on; those that were admitted go on.
   *
   * @since 0.1
   */
  public void drain() {
    draining = true;
  }

  // Targets and peers

  /**
   * Takes in an announcement or renewal of an executor. One of an unknown service is kept out.
   *
   * @since 0.1
   */
  public List<RequestAction> announced(TargetAnnouncement announcement, long nowMillis) {
    ServicePool pool = pools.get(announcement.service());
    detachFromOthers(announcement.id(), pool);
    if (pool != null) {
      TargetState target = pool.announced(announcement, nowMillis);
      wakes.addLease(target.expiryMillis());
      if (isOut(target)) {
        target.markLeaving();
      }
      dispatcher.pump(pool, nowMillis);
    }
    return outbox.take();
  }

  private void detachFromOthers(TargetId target, ServicePool pool) {
    pools.values().stream()
        .filter(other -> other != pool && other.targets().containsKey(target))
        .forEach(other -> other.targets().get(target).markLeaving());
  }

  /**
   * Takes in what a peer has to offer.
   *
   * @since 0.1
   */
  public List<RequestAction> peerLoad(PeerLoad load, long nowMillis) {
    ServicePool pool = pools.get(load.service());
    if (pool != null) {
      pool.peerLoad(load, nowMillis);
      dispatcher.pump(pool, nowMillis);
    }
    return outbox.take();
  }

  /**
   * Forgets a peer that cannot be reached. Open forwards to it are reported one by one.
   *
   * @since 0.1
   */
  public List<RequestAction> peerGone(InstanceId peer, long nowMillis) {
    pools.values().forEach(pool -> pool.peerGone(peer));
    pools.values().forEach(pool -> dispatcher.pump(pool, nowMillis));
    return outbox.take();
  }

  // Requests

  /**
   * Takes in a request.
   *
   * @throws IllegalArgumentException when the id is in use; ids are made by the adapter
   * @since 0.1
   */
  public List<RequestAction> received(RequestDescription description, long nowMillis) {
    if (finisher.requests().containsKey(description.id())) {
      throw new IllegalArgumentException("request id in use: " + description.id());
    }
    ServicePool pool = pools.get(description.service());
    Integer weight = weights.get(description.customer());
    if (draining) {
      finisher.refuse(description, RefusalReason.SHUTTING_DOWN, settings.retryAfterMillis());
    } else if (pool == null) {
      finisher.refuse(description, RefusalReason.UNKNOWN_SERVICE, 0);
    } else if (weight == null) {
      finisher.refuse(description, RefusalReason.UNKNOWN_CUSTOMER, 0);
    } else {
      CustomerShare share = pool.queue().share(description.customer(), weight);
      admit(new ActiveRequest(description, received++, pool, share), nowMillis);
    }
    return outbox.take();
  }

  private void admit(ActiveRequest request, long nowMillis) {
    Optional<RefusalReason> refusal = Admission.check(request, nowMillis);
    if (refusal.isPresent()) {
      finisher.refuse(
          request.description(), refusal.get(), finisher.comeBackMillis(request, nowMillis));
      return;
    }
    ServicePool pool = request.pool();
    if (pool.queue().waiting() >= pool.service().maxQueued() && !pool.hasRoom(nowMillis)) {
      Optional<ActiveRequest> victim = pool.queue().victimFor(request.share());
      if (victim.isEmpty()) {
        finisher.refuse(
            request.description(),
            RefusalReason.QUEUE_FULL,
            finisher.comeBackMillis(request, nowMillis));
        return;
      }
      finisher.fail(victim.get(), RefusalReason.QUEUE_SHARE_RECLAIMED, nowMillis);
    }
    accept(request, nowMillis);
  }

  private void accept(ActiveRequest request, long nowMillis) {
    RequestDescription description = request.description();
    request.moveTo(RequestState.ACCEPTED);
    finisher.requests().put(description.id(), request);
    wakes.schedule(request, Admission.giveUpMillis(request, nowMillis));
    if (description.needsClaim()) {
      request.share().claiming().add(request);
      outbox.add(new RequestAction.Claim(description.id(), description.claim().orElseThrow()));
    } else {
      request.share().ready().add(request);
      dispatcher.pump(request.pool(), nowMillis);
    }
  }

  /**
   * Takes in what the claim store said.
   *
   * @param id request that asked
   * @param claim what it asked for
   * @param result answer of the store
   * @param nowMillis present
   * @since 0.1
   */
  public List<RequestAction> claimed(
      RequestId id, IdempotencyClaim claim, ClaimResult result, long nowMillis) {
    ActiveRequest request = finisher.requests().get(id);
    boolean granted = result instanceof ClaimResult.Granted;
    if (request == null || !request.share().claiming().remove(request)) {
      outbox.count(DropReason.LATE_CLAIM);
      if (granted && request == null) {
        outbox.add(new RequestAction.Settle(id, claim, ExecutionStatus.NOT_RUN));
      }
    } else if (granted) {
      request.markClaimed();
      request.share().ready().add(request);
      dispatcher.pump(request.pool(), nowMillis);
    } else if (result instanceof ClaimResult.AlreadyClaimed held) {
      failClaimed(request, held, nowMillis);
    } else {
      finisher.fail(request, RefusalReason.CLAIM_UNAVAILABLE, nowMillis);
    }
    return outbox.take();
  }

  private void failClaimed(ActiveRequest request, ClaimResult.AlreadyClaimed held, long nowMillis) {
    if (!held.sameContent()) {
      finisher.finish(request, RefusalReason.KEY_REUSED, ExecutionStatus.NOT_RUN, 0);
    } else if (held.execution().equals(Optional.of(ExecutionStatus.RAN))) {
      finisher.finish(request, RefusalReason.ALREADY_RAN, ExecutionStatus.RAN, 0);
    } else {
      finisher.finish(request, RefusalReason.ALREADY_CLAIMED, ExecutionStatus.UNKNOWN, 0);
    }
    dispatcher.pump(request.pool(), nowMillis);
  }

  /**
   * Takes in how an attempt ended. The adapter reports one outcome for each dispatch and forward,
   * also for those it was told to abandon.
   *
   * @since 0.1
   */
  public List<RequestAction> ended(AttemptId id, AttemptOutcome outcome, long nowMillis) {
    dispatcher.ended(id, outcome, nowMillis);
    return outbox.take();
  }

  /**
   * Takes in that the caller went away. A request that was sent goes on, its answer is dropped.
   *
   * @since 0.1
   */
  public List<RequestAction> callerGone(RequestId id, long nowMillis) {
    ActiveRequest request = finisher.requests().get(id);
    if (request != null) {
      outbox.count(DropReason.CALLER_GONE);
      finisher.drop(request);
      dispatcher.pump(request.pool(), nowMillis);
    }
    return outbox.take();
  }

  /**
   * Handles what is due: deadlines, retries, probes and ends of leases.
   *
   * @since 0.1
   */
  public List<RequestAction> tick(long nowMillis) {
    for (ActiveRequest due : wakes.takeDue(nowMillis)) {
      wake(due, nowMillis);
    }
    for (ServicePool pool : pools.values()) {
      pool.removeExpired(nowMillis);
      dispatcher.pump(pool, nowMillis);
    }
    return outbox.take();
  }

  // Internals

  private void wake(ActiveRequest request, long nowMillis) {
    if (finisher.requests().get(request.description().id()) != request) {
      return;
    }
    if (request.backingOff() && nowMillis < request.description().deadlineMillis()) {
      dispatcher.enqueue(request, nowMillis);
    } else if (request.current() != null) {
      outbox.add(new RequestAction.Abandon(request.current().id()));
      finisher.fail(request, RefusalReason.DEADLINE_IN_FLIGHT, nowMillis);
    } else {
      finisher.fail(request, RefusalReason.DEADLINE_IN_QUEUE, nowMillis);
    }
  }
}
