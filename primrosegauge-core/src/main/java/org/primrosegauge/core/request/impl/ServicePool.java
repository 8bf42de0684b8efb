package org.primrosegauge.core.request.impl;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.TargetId;
import org.primrosegauge.core.request.PeerLoad;
import org.primrosegauge.core.request.TargetAnnouncement;
import org.primrosegauge.core.request.cfg.RouterSettings;
import org.primrosegauge.core.site.Service;

/**
 * Executors, peers, queue and measurements of one service.
 *
 * <p>An executor is attached to this instance alone, so its slots in use are known exactly and the
 * least loaded one is chosen. What is known of peers is a report that all other instances read as
 * well; the better of two random peers is chosen, so that they do not all go for the same one.
 *
 * @since 0.1
 */
public final class ServicePool {

  /** Time after which a silent peer is left out, in milliseconds. */
  private static final long PEER_EXPIRY_MILLIS = 5_000;

  private static final int WORST_CLASS = 1;

  private final RouterSettings settings;
  private final RandomGenerator random;
  private final FailureDomainId home;
  private final Map<TargetId, TargetState> targets = new LinkedHashMap<>();
  private final Map<InstanceId, PeerState> peers = new LinkedHashMap<>();
  private final ShareQueue queue = new ShareQueue();
  private final ServiceTimes times = new ServiceTimes();
  private final RetryBudget budget;
  private Service service;

  /** Creates a pool without executors. */
  public ServicePool(
      Service service,
      FailureDomainId home,
      RouterSettings settings,
      RandomGenerator random,
      long nowMillis) {
    this.service = service;
    this.home = home;
    this.settings = settings;
    this.random = random;
    budget = new RetryBudget(service.retryPercent(), settings.retryReserve(), nowMillis);
  }

  /** Takes over a changed configuration of the service. */
  public void configure(Service latest) {
    service = latest;
    budget.changeRate(latest.retryPercent());
  }

  /** Returns the configuration of the service. */
  public Service service() {
    return service;
  }

  /** Returns the waiting requests. */
  public ShareQueue queue() {
    return queue;
  }

  /** Returns the measured times. */
  public ServiceTimes times() {
    return times;
  }

  /** Returns the retry budget. */
  public RetryBudget budget() {
    return budget;
  }

  /** Returns the attached executors. */
  public Map<TargetId, TargetState> targets() {
    return targets;
  }

  /** Takes in an announcement or a renewal and returns the executor. */
  public TargetState announced(TargetAnnouncement announcement, long nowMillis) {
    TargetState known = targets.get(announcement.id());
    if (known == null) {
      targets.put(announcement.id(), new TargetState(announcement, settings, nowMillis));
    } else if (nowMillis >= known.expiryMillis()) {
      known.attach(announcement, nowMillis);
    } else {
      known.renew(announcement, nowMillis);
    }
    return targets.get(announcement.id());
  }

  /** Forgets executors whose lease ended and that have no attempt open. */
  public void removeExpired(long nowMillis) {
    targets.values().removeIf(t -> nowMillis >= t.expiryMillis() && t.inFlight() == 0);
    peers.values().removeIf(p -> nowMillis - p.heardMillis() > PEER_EXPIRY_MILLIS);
  }

  /** Takes in a report of a peer. */
  public void peerLoad(PeerLoad load, long nowMillis) {
    PeerState known = peers.get(load.peer());
    if (known == null) {
      peers.put(load.peer(), new PeerState(load, nowMillis));
    } else {
      known.update(load, nowMillis);
    }
  }

  /** Forgets a peer that cannot be reached. */
  public void peerGone(InstanceId peer) {
    peers.remove(peer);
  }

  /** Returns the executor for the next attempt; empty when none has a slot for it. */
  public Optional<TargetState> pick(boolean repeatable, Set<TargetId> tried, long nowMillis) {
    Optional<TargetState> probe = pickProbe(repeatable, tried, nowMillis);
    if (probe.isPresent()) {
      return probe;
    }
    TargetState best = null;
    int bestClass = WORST_CLASS + 1;
    int equals = 0;
    for (TargetState target : targets.values()) {
      if (!target.isHealthy(nowMillis) || !target.hasSlot()) {
        continue;
      }
      int rank = tried.contains(target.id()) ? WORST_CLASS : 0;
      int order = best == null ? -1 : compare(rank, target, bestClass, best);
      equals = order == 0 ? equals + 1 : 1;
      // Reservoir sampling makes each of the equally loaded executors equally likely.
      if (order < 0 || order == 0 && random.nextInt(equals) == 0) {
        best = target;
        bestClass = rank;
      }
    }
    return Optional.ofNullable(best);
  }

  private static int compare(int rank, TargetState target, int bestRank, TargetState best) {
    return rank != bestRank
        ? Integer.compare(rank, bestRank)
        : Double.compare(target.score(), best.score());
  }

  /** A request that must not be repeated is a probe only if nobody else can take it. */
  private Optional<TargetState> pickProbe(boolean repeatable, Set<TargetId> tried, long now) {
    boolean lastResort = !hasHealthy(now) && !hasPeers();
    return targets.values().stream()
        .filter(target -> target.isProbeDue(now))
        .filter(target -> lastResort || repeatable && !tried.contains(target.id()))
        .findFirst();
  }

  /** Returns the peer for a forward; empty when none is believed to have a free slot. */
  public Optional<PeerState> pickPeer() {
    Optional<PeerState> near = betterOfTwo(p -> p.domain().equals(home));
    return near.isPresent() ? near : betterOfTwo(p -> !p.domain().equals(home));
  }

  private Optional<PeerState> betterOfTwo(Predicate<PeerState> among) {
    PeerState[] free = freePeers().filter(among).toArray(PeerState[]::new);
    if (free.length == 0) {
      return Optional.empty();
    }
    PeerState first = free[random.nextInt(free.length)];
    PeerState second = free[random.nextInt(free.length)];
    return Optional.of(second.freeSlots() > first.freeSlots() ? second : first);
  }

  private Stream<PeerState> freePeers() {
    return peers.values().stream().filter(peer -> peer.freeSlots() > 0);
  }

  /** Tells whether a healthy executor is attached. */
  public boolean hasHealthy(long nowMillis) {
    return targets.values().stream().anyMatch(target -> target.isHealthy(nowMillis));
  }

  private boolean hasPeers() {
    return peers.values().stream().anyMatch(peer -> peer.totalSlots() > 0);
  }

  /** Tells whether a request that comes now has a chance to be sent. */
  public boolean hasUsableTarget(long nowMillis) {
    return hasHealthy(nowMillis)
        || hasPeers()
        || targets.values().stream().anyMatch(target -> target.isProbeDue(nowMillis));
  }

  /** Returns the time until the next probe of a live executor, in milliseconds; 0 for none. */
  public long millisToProbe(long nowMillis) {
    return targets.values().stream()
        .filter(target -> target.isLive(nowMillis) && !target.isHealthy(nowMillis))
        .mapToLong(target -> Math.max(1, target.probeMillis() - nowMillis))
        .min()
        .orElse(0);
  }

  /** Returns the slots of healthy executors. */
  public int totalSlots(long nowMillis) {
    return targets.values().stream()
        .filter(target -> target.isHealthy(nowMillis))
        .mapToInt(target -> target.announcement().capacity())
        .sum();
  }

  /** Returns the free slots of healthy executors. */
  public int freeSlots(long nowMillis) {
    return targets.values().stream()
        .filter(target -> target.isHealthy(nowMillis))
        .mapToInt(TargetState::freeSlots)
        .sum();
  }

  /** Tells whether a request that comes now finds a free slot here and nobody who waits for it. */
  public boolean hasRoom(long nowMillis) {
    return !queue.hasReady() && freeSlots(nowMillis) > 0;
  }

  /** Returns an estimate of how long a new request of a customer waits, in milliseconds. */
  public long estimatedWaitMillis(CustomerShare share, long nowMillis) {
    int free = freeSlots(nowMillis) + freePeers().mapToInt(PeerState::freeSlots).sum();
    if (!queue.hasReady() && free > 0) {
      return 0;
    }
    double slots = totalSlots(nowMillis) + freePeers().mapToInt(PeerState::freeSlots).sum();
    if (slots <= 0) {
      return 0;
    }
    double perSlot = times.meanMillis() / slots;
    double byShare = (share.waiting() + 1) * perSlot / queue.guaranteedPart(share);
    double byQueue = (queue.waiting() + 1) * perSlot;
    return (long) Math.min(byShare, byQueue);
  }
}
