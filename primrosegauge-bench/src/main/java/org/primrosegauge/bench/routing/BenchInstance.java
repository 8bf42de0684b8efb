package org.primrosegauge.bench.routing;

import java.util.List;
import org.primrosegauge.core.CustomerId;
import org.primrosegauge.core.ExecutionStatus;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.RequestId;
import org.primrosegauge.core.ServiceId;
import org.primrosegauge.core.request.ClaimResult;
import org.primrosegauge.core.request.ClaimStore;
import org.primrosegauge.core.request.IdempotencyClaim;
import org.primrosegauge.core.site.Customer;
import org.primrosegauge.core.site.Service;
import org.primrosegauge.core.site.SiteConfiguration;
import org.primrosegauge.node.duty.MonotonicClock;
import org.primrosegauge.node.http.HttpApi;
import org.primrosegauge.node.metrics.NodeMetrics;
import org.primrosegauge.node.request.RequestMessage;
import org.primrosegauge.node.request.RequestPath;
import org.primrosegauge.node.request.RoutingDuty;
import org.primrosegauge.node.request.RoutingSettings;
import org.primrosegauge.node.transport.PeerSecurity;
import org.primrosegauge.node.transport.PeerTransport;
import org.primrosegauge.wire.FrameCodec;
import org.primrosegauge.wire.MessageTypes;
import reactor.netty.http.server.HttpServer;

/** The request path of an instance without the rest of the daemon. */
final class BenchInstance implements AutoCloseable {

  static final ServiceId SERVICE = new ServiceId("kutipan-core");
  static final CustomerId CUSTOMER = new CustomerId("depot");
  static final FailureDomainId DOMAIN = new FailureDomainId("klang");

  private static final String HOST = "127.0.0.1";
  private static final int MAX_BODY_BYTES = 65_536;
  private static final long TIMEOUT_MILLIS = 2_000;
  private static final int MAX_QUEUED = 200;
  private static final int RETRY_PERCENT = 10;

  private final NodeMetrics metrics = new NodeMetrics();
  private final HttpApi api = new HttpApi();
  private final PeerTransport transport;
  private final RoutingDuty duty;

  BenchInstance() {
    InstanceId self = new InstanceId("bench");
    MonotonicClock clock = MonotonicClock.system();
    MessageTypes types = MessageTypes.builder().family("request", RequestMessage.class).build();
    transport = new PeerTransport(self, new FrameCodec(types), metrics, PeerSecurity.NONE);
    duty =
        new RoutingDuty(
            self,
            DOMAIN,
            RoutingSettings.DEFAULTS,
            clock,
            metrics,
            new NoClaims(),
            transport,
            List::of);
    RequestPath.register(duty, api, transport, clock, metrics);
    duty.configured(site());
    duty.start();
    api.start(HttpServer.create(), HOST, 0);
  }

  private static SiteConfiguration site() {
    Service service =
        new Service(SERVICE, MAX_BODY_BYTES, TIMEOUT_MILLIS, MAX_QUEUED, RETRY_PERCENT);
    Customer customer = new Customer(CUSTOMER, 0, 1);
    return new SiteConfiguration(
        List.of(), List.of(), List.of(customer), List.of(), List.of(service));
  }

  String address() {
    return "http://" + HOST + ":" + api.port();
  }

  /** Returns the retries so far. */
  double retries() {
    return metrics.registry().find("primrosegauge.retries").counters().stream()
        .mapToDouble(counter -> counter.count())
        .sum();
  }

  @Override
  public void close() {
    api.close();
    duty.close();
    transport.close();
  }

  /** The requests of the bench may be repeated and carry no key. */
  private static final class NoClaims implements ClaimStore {

    @Override
    public void claim(
        RequestId requestId,
        IdempotencyClaim claim,
        java.util.function.Consumer<ClaimResult> callback) {
      callback.accept(new ClaimResult.Unavailable());
    }

    @Override
    public void settle(RequestId requestId, IdempotencyClaim claim, ExecutionStatus execution) {}
  }
}
