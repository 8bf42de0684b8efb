package org.primrosegauge.node.daemon;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.PrimrosegaugeException;
import org.primrosegauge.core.Revision;
import org.primrosegauge.core.StorageException;
import org.primrosegauge.core.keeper.KeeperOffice;
import org.primrosegauge.core.keeper.QuorumResult;
import org.primrosegauge.core.keeper.cfg.KeeperSettings;
import org.primrosegauge.core.log.cfg.LogSettings;
import org.primrosegauge.core.registry.RegistryCommand;
import org.primrosegauge.core.registry.RegistryResult;
import org.primrosegauge.core.settings.SettingsException;
import org.primrosegauge.core.site.DomainSwitch;
import org.primrosegauge.core.site.SiteConfiguration;
import org.primrosegauge.node.cfg.NodeSettings;
import org.primrosegauge.node.cfg.PeerSettings;
import org.primrosegauge.node.duty.Duty;
import org.primrosegauge.node.duty.MonotonicClock;
import org.primrosegauge.node.http.HttpApi;
import org.primrosegauge.node.job.JobApi;
import org.primrosegauge.node.keeper.KeeperDuty;
import org.primrosegauge.node.keeper.KeeperFigures;
import org.primrosegauge.node.log.LogStorage;
import org.primrosegauge.node.log.RegistryJobLog;
import org.primrosegauge.node.log.RegistryService;
import org.primrosegauge.node.log.RegistryView;
import org.primrosegauge.node.log.ReplicatedRegistry;
import org.primrosegauge.node.membership.Membership;
import org.primrosegauge.node.metrics.NodeMetrics;
import org.primrosegauge.node.operator.DomainOrders;
import org.primrosegauge.node.operator.OperatorApi;
import org.primrosegauge.node.request.RegistryClaimStore;
import org.primrosegauge.node.request.RequestPath;
import org.primrosegauge.node.request.RoutingDuty;
import org.primrosegauge.node.request.RoutingSettings;
import org.primrosegauge.node.target.TargetApi;
import org.primrosegauge.node.target.WorkerClient;
import org.primrosegauge.node.transport.PeerAddress;
import org.primrosegauge.node.transport.PeerTransport;
import org.primrosegauge.wire.FrameCodec;
import org.primrosegauge.wire.api.StatusView;
import org.primrosegauge.wire.toml.SiteTomlReader;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServer;

/**
 * One instance: all duties and servers of a process.
 *
 * <p>Life-cycle: created from settings, {@link #start}, then {@link #stop} for a graceful end.
 *
 * @since 0.1
 */
public final class InstanceDaemon {

  private static final Logger LOG = LoggerFactory.getLogger(InstanceDaemon.class);
  private static final long HOUSEKEEPING_MILLIS = 250;
  private static final long PULL_MILLIS = 1_000;
  private static final Duration WORKER_TIMEOUT = Duration.ofSeconds(2);
  private static final int WORKER_LEASES_PER_LEASE = 5;
  private static final long DRIFT_PPM = 10_000;

  private final NodeSettings settings;
  private final Consumer<StorageException> onStorageFailure;
  private final InstanceId self;
  private final FailureDomainId domain;
  private final MonotonicClock clock = MonotonicClock.system();
  private final NodeMetrics metrics = new NodeMetrics();
  private final HttpApi http = new HttpApi();
  private final InstanceSecurity security;
  private final PeerTransport transport;
  private final RegistryService registry;
  private final WorkerClient workerClient = new WorkerClient(WORKER_TIMEOUT);
  private final KeeperDuty keeper;
  private final SiteMembers members;
  private final RoutingDuty requests;
  private final Membership membership;
  private final DomainOrders orders;
  private final Duty housekeeping;
  private final ReplicatedRegistry log;
  private final KeeperSettings keeperSettings;
  private volatile Revision inForce = Revision.NONE;
  private volatile boolean storageFailed;
  private boolean keepersConfigured;
  private long nextPull;

  /**
   * Creates an instance that does not run yet.
   *
   * @param storage durable storage of the log; used on voters only
   * @param onStorageFailure told once when the storage becomes unusable; the process must then end
   * @throws PrimrosegaugeException when the storage cannot be recovered
   * @since 0.1
   */
  public InstanceDaemon(
      NodeSettings settings, LogStorage storage, Consumer<StorageException> onStorageFailure)
      throws PrimrosegaugeException {
    this.settings = settings;
    this.onStorageFailure = onStorageFailure;
    this.self = settings.instance().id();
    this.domain = settings.instance().failureDomain();
    this.keeperSettings =
        new KeeperSettings(
            settings.timeouts().leaseMillis(), settings.timeouts().heartbeatMillis(), DRIFT_PPM);
    this.members = new SiteMembers(settings);
    this.security = InstanceSecurity.open(settings);
    this.transport =
        new PeerTransport(self, new FrameCodec(MessageFamilies.TYPES), metrics, security.peers());
    this.registry =
        new RegistryService(
            self,
            transport,
            members.voters(),
            List.copyOf(members.domains().keySet()),
            members.neighbours());
    this.keeper =
        new KeeperDuty(
            domain,
            self,
            keeperSettings,
            settings.limits().ringEvents(),
            WORKER_LEASES_PER_LEASE * settings.timeouts().leaseMillis(),
            clock,
            transport,
            this::proposeForKeeper,
            new RegistryJobLog(registry),
            members.neighbours(),
            workerClient,
            metrics);
    this.membership =
        new Membership(
            self,
            security.scheme() + "://" + settings.http().advertised(),
            members.domains(),
            System.currentTimeMillis(),
            transport,
            clock,
            this::ownState);
    this.orders = new DomainOrders(membership, registry, keeper, transport);
    this.requests =
        new RoutingDuty(
            self,
            domain,
            RoutingSettings.DEFAULTS,
            clock,
            metrics,
            new RegistryClaimStore(
                self, registry::propose, settings.limits().answerRetentionMillis()),
            transport,
            members::others);
    this.housekeeping =
        new Duty(
            "housekeeping",
            settings.limits().ringEvents(),
            HOUSEKEEPING_MILLIS,
            clock,
            this::keepHouse);
    this.log = settings.instance().voter() ? createLog(storage) : null;
    registry.onView(this::viewChanged);
  }

  // Life-cycle

  /**
   * Starts all duties and servers.
   *
   * @since 0.1
   */
  public void start() {
    addRoutes();
    requests.start();
    transport.start(settings.peer().listen().host(), settings.peer().listen().port());
    for (PeerSettings peer : settings.peers()) {
      transport.connect(new PeerAddress(peer.id(), peer.address().host(), peer.address().port()));
    }
    if (log != null) {
      registry.attach(log);
      log.start();
    }
    keeper.start();
    housekeeping.start();
    http.authenticator(security.authenticator());
    http.start(
        security.secure(HttpServer.create()),
        settings.http().listen().host(),
        settings.http().listen().port());
    LOG.info(
        "instance {} of failure domain {} serves on {}",
        self,
        domain,
        settings.http().advertised());
  }

  /**
   * Ends the instance gracefully: it refuses new work, finishes what is in flight up to the drain
   * time, then closes.
   *
   * @return whether everything in flight was finished
   * @since 0.1
   */
  public boolean stop() {
    final long deadline = clock.nowMillis() + settings.timeouts().drainMillis();
    boolean answered = isTrue(http.drain(until(deadline)));
    final boolean finished = isTrue(requests.drain(until(deadline))) && answered;
    housekeeping.close();
    requests.close();
    keeper.close();
    closeConnections();
    LOG.info("instance {} stopped, everything in flight finished: {}", self, finished);
    return finished;
  }

  /** Ends at once and finishes nothing, as when the process is killed. */
  void halt() {
    keeper.halt();
    transport.close();
    housekeeping.close();
    requests.close();
    closeConnections();
    LOG.info("instance {} halted", self);
  }

  private void closeConnections() {
    if (log != null) {
      log.close();
    }
    http.close();
    transport.close();
    workerClient.close();
    security.close();
  }

  private Duration until(long deadlineMillis) {
    return Duration.ofMillis(Math.max(1, deadlineMillis - clock.nowMillis()));
  }

  private static boolean isTrue(Mono<Boolean> result) {
    return Boolean.TRUE.equals(result.block());
  }

  // Internals: settings

  private ReplicatedRegistry createLog(LogStorage storage) throws PrimrosegaugeException {
    int election = (int) settings.timeouts().electionMillis();
    RandomGenerator random =
        RandomGeneratorFactory.<RandomGenerator>of("L64X128MixRandom").create();
    return new ReplicatedRegistry(
        LogSettings.of(self, members.voters())
            .withTimings((int) settings.timeouts().heartbeatMillis(), election, 2 * election),
        keeperSettings,
        settings.limits().ringEvents(),
        storage,
        random,
        clock,
        transport,
        registry::update,
        this::storageFailed);
  }

  // Internals: events

  private void storageFailed(StorageException failure) {
    storageFailed = true;
    onStorageFailure.accept(failure);
  }

  private Mono<QuorumResult> proposeForKeeper(RegistryCommand.KeeperCommand command) {
    return registry
        .propose(command)
        .ofType(RegistryResult.KeeperDecided.class)
        .map(RegistryResult.KeeperDecided::decision);
  }

  private void viewChanged(RegistryView view) {
    for (KeeperOffice office : view.offices()) {
      if (office.domain().equals(domain)) {
        keeper.officeObserved(office);
      }
    }
    requests.outOfService(domainsOut(view), Set.of());
    if (view.configuration().revision().compareTo(inForce) > 0) {
      putInForce(view);
    }
  }

  /** The own domain may be out by an order that the log has not merged yet. */
  private Set<FailureDomainId> domainsOut(RegistryView view) {
    Stream<DomainSwitch> known =
        Stream.concat(
            view.switches().stream().filter(order -> !order.domain().equals(domain)),
            orders.known(domain).stream());
    return known
        .filter(DomainSwitch::out)
        .map(DomainSwitch::domain)
        .collect(Collectors.toUnmodifiableSet());
  }

  private void putInForce(RegistryView view) {
    try {
      SiteConfiguration configuration =
          SiteTomlReader.read(
              "revision-" + view.configuration().revision(), view.configuration().content());
      requests.configured(configuration);
      if (keeper.configured(configuration)) {
        inForce = view.configuration().revision();
        LOG.info("configuration revision {} is in force", inForce);
      }
    } catch (SettingsException e) {
      LOG.error("accepted configuration {} cannot be read", view.configuration().revision(), e);
    }
  }

  private Membership.OwnState ownState() {
    KeeperFigures figures = keeper.figures();
    return new Membership.OwnState(
        isReady(), figures.term(), inForce, figures.switchInForce(), figures.freeAccelerators());
  }

  private boolean isReady() {
    return !http.isDraining() && !storageFailed;
  }

  private void keepHouse(long nowMillis) {
    membership.tick(nowMillis);
    if (nowMillis >= nextPull) {
      nextPull = nowMillis + PULL_MILLIS;
      registry.pull();
      orders.tick();
      configureKeepers();
      viewChanged(registry.view());
    }
  }

  /**
   * The leader records the instance sets of the domains once, when the log is new or they change.
   */
  private void configureKeepers() {
    if (keepersConfigured || !self.equals(registry.leader())) {
      return;
    }
    keepersConfigured = true;
    for (FailureDomainId other : membership.domains()) {
      List<InstanceId> members = new ArrayList<>(membership.membersOf(other));
      registry
          .propose(new RegistryCommand.ConfigureKeepers(other, members))
          .subscribe(
              result -> LOG.debug("instance set of {}: {}", other, result),
              error -> housekeeping.offer(() -> keepersConfigured = false));
    }
  }

  // Internals: HTTP

  private void addRoutes() {
    HealthRoutes.addTo(http, metrics, () -> !storageFailed, this::isReady);
    new TargetApi(membership, keeper, requests).addTo(http);
    RequestPath.register(requests, http, transport, clock, metrics);
    new JobApi(membership, transport).addTo(http);
    new OperatorApi(membership, registry, orders, members.voters(), this::status).addTo(http);
  }

  private StatusView status() {
    KeeperFigures figures = keeper.figures();
    return new StatusView(
        self,
        domain,
        isReady(),
        registry.leader(),
        membership.keeperOf(domain).orElse(null),
        figures.term(),
        inForce,
        figures.workers(),
        requests.attachedExecutors(),
        figures.queuedJobs(),
        figures.runningJobs());
  }
}
