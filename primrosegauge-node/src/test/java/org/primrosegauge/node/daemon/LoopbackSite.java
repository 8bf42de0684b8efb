package org.primrosegauge.node.daemon;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.HostPort;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.RackId;
import org.primrosegauge.core.RegionId;
import org.primrosegauge.core.ServiceId;
import org.primrosegauge.core.TargetId;
import org.primrosegauge.core.job.Resources;
import org.primrosegauge.node.FreePort;
import org.primrosegauge.node.cfg.EndpointSettings;
import org.primrosegauge.node.cfg.InstanceSettings;
import org.primrosegauge.node.cfg.NodeSettings;
import org.primrosegauge.node.cfg.PeerSettings;
import org.primrosegauge.node.cfg.TimeoutSettings;
import org.primrosegauge.node.cfg.TlsSettings;
import org.primrosegauge.node.log.MemoryStorage;
import org.primrosegauge.standin.ExecutorStandin;
import org.primrosegauge.standin.TargetHost;
import org.primrosegauge.standin.WorkerStandin;

/** Three instances of one site in this process, with one service and one customer. */
final class LoopbackSite implements AutoCloseable {

  static final ServiceId SERVICE = new ServiceId("kutipan-core");

  private static final String HOST = "127.0.0.1";
  private static final List<String> DOMAINS = List.of("klang", "klang", "ipoh");
  private static final TimeoutSettings TIMEOUTS =
      new TimeoutSettings(2_000, 100, 500, 30_000, 1_000);
  private static final Duration ANNOUNCE_INTERVAL = Duration.ofMillis(100);
  private static final Duration SERVICE_TIME = Duration.ofMillis(1);
  private static final long POLL_MILLIS = 20;
  private static final String TOML =
      """
      [[regions]]
      id = "selangor"

      [[failure-domains]]
      id = "klang"
      region = "selangor"
      workers = 1
      workers-per-rack = 1
      accelerators-per-worker = 8
      cores-per-worker = 64
      memory-per-worker = "130GiB"

      [[failure-domains]]
      id = "ipoh"
      region = "selangor"
      workers = 1
      workers-per-rack = 1
      accelerators-per-worker = 8
      cores-per-worker = 64
      memory-per-worker = "130GiB"

      [[customers]]
      id = "depot"
      quota-accelerators = 8
      request-share = 1

      [[services]]
      id = "kutipan-core"
      max-body = "64KiB"
      timeout = "20s"
      max-queued = 16
      retry-percent = 10
      executor-slots = 8
      executor-connections = 60
      """;

  private final HttpClient http = HttpClient.newHttpClient();
  private final ObjectMapper json = new ObjectMapper();
  private final List<Integer> ports = new ArrayList<>();
  private final List<InstanceDaemon> daemons = new ArrayList<>();
  private final List<InstanceDaemon> running = new CopyOnWriteArrayList<>();
  private final List<AutoCloseable> opened = new ArrayList<>();

  LoopbackSite() throws Exception {
    for (int i = 0; i < 2 * DOMAINS.size(); i++) {
      ports.add(FreePort.on(HOST));
    }
    for (int i = 0; i < DOMAINS.size(); i++) {
      InstanceDaemon daemon = new InstanceDaemon(settings(i), new MemoryStorage(), failure -> {});
      daemon.start();
      daemons.add(daemon);
      running.add(daemon);
    }
    until(() -> put("/v1/configuration", TOML).statusCode() == 200);
    for (int i = 0; i < DOMAINS.size(); i++) {
      int instance = i;
      until(() -> get(instance, "/v1/status").path("inForce").asLong() == 1);
      until(() -> post(instance, "", "").statusCode() != 404);
    }
  }

  /** Stops an instance for good. */
  boolean stop(int instance) {
    return running.remove(daemons.get(instance)) && daemons.get(instance).stop();
  }

  /** Ends an instance at once and for good, as when its process is killed. */
  void halt(int instance) {
    running.remove(daemons.get(instance));
    daemons.get(instance).halt();
  }

  /** Attaches an executor to an instance and waits until it is listed there as ready. */
  ExecutorStandin attach(int instance, String id, Optional<String> address) throws Exception {
    TargetHost host = new TargetHost(List.of(address(instance)), ANNOUNCE_INTERVAL, SERVICE_TIME);
    host.start(HOST, 0);
    opened.add(host);
    TargetId target = new TargetId(id);
    ExecutorStandin executor =
        new ExecutorStandin(
            target,
            SERVICE,
            new FailureDomainId("klang"),
            8,
            60,
            address.orElseGet(() -> host.addressOf(target)));
    host.add(executor);
    awaitState(instance, id, "ready");
    return executor;
  }

  /** Attaches a worker to the failure domain klang; it announces itself to both instances there. */
  TargetHost attachWorker(String id, Consumer<WorkerStandin.TaskEvent> events) throws Exception {
    List<String> instances = List.of(address(0), address(1));
    TargetHost host = new TargetHost(instances, ANNOUNCE_INTERVAL, SERVICE_TIME);
    host.start(HOST, 0);
    opened.add(host);
    TargetId target = new TargetId(id);
    host.add(
        new WorkerStandin(
            target,
            new FailureDomainId("klang"),
            new RackId("r1"),
            new Resources(64_000, 130 * 1024, 8),
            host.addressOf(target),
            events));
    return host;
  }

  /** Returns the instance that keeps a failure domain, once its members agree on one. */
  int keeperOf(String domain) throws Exception {
    int first = DOMAINS.indexOf(domain);
    int last = DOMAINS.lastIndexOf(domain);
    AtomicReference<String> keeper = new AtomicReference<>("");
    until(
        () -> {
          keeper.set(get(first, "/v1/status").path("keeper").asText());
          return keeper.get().equals(get(last, "/v1/status").path("keeper").asText())
              && keeper.get().startsWith("instance-");
        });
    return Integer.parseInt(keeper.get().substring("instance-".length()));
  }

  /** Submits a repeatable gang at the first instance. */
  HttpResponse<String> submit(String job, int tasks, int millis) throws Exception {
    String body =
        json.createObjectNode()
            .put("id", job)
            .put("customer", "depot")
            .put("tasks", tasks)
            .put("milliCores", 1_000)
            .put("memoryMib", 64)
            .put("accelerators", 1)
            .put("repeatable", true)
            .put("command", "run " + millis)
            .toString();
    HttpRequest request =
        HttpRequest.newBuilder(URI.create(address(0) + "/v1/jobs"))
            .header("Content-Type", "application/json")
            .POST(HttpRequest.BodyPublishers.ofString(body))
            .build();
    return http.send(request, HttpResponse.BodyHandlers.ofString());
  }

  void awaitState(int instance, String executor, String state) throws Exception {
    until(
        () -> {
          for (JsonNode target : get(instance, "/v1/targets")) {
            if (target.path("id").asText().equals(executor)) {
              return target.path("state").asText().equals(state);
            }
          }
          return false;
        });
  }

  HttpResponse<String> post(int instance, String body, String key) throws Exception {
    return http.send(request(instance, body, key), HttpResponse.BodyHandlers.ofString());
  }

  CompletableFuture<HttpResponse<String>> postAsync(int instance, String body) {
    return http.sendAsync(request(instance, body, ""), HttpResponse.BodyHandlers.ofString());
  }

  JsonNode get(int instance, String path) throws Exception {
    return read(
        http.send(
            HttpRequest.newBuilder(URI.create(address(instance) + path)).build(),
            HttpResponse.BodyHandlers.ofString()));
  }

  int statusOf(int instance, String path) throws Exception {
    HttpRequest request = HttpRequest.newBuilder(URI.create(address(instance) + path)).build();
    return http.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
  }

  JsonNode read(HttpResponse<String> answer) throws IOException {
    return json.readTree(answer.body());
  }

  /** Waits for a state; how long it takes is no part of the verdict. */
  static void until(Callable<Boolean> state) throws Exception {
    while (!state.call()) {
      Thread.sleep(POLL_MILLIS);
    }
  }

  @Override
  public void close() throws Exception {
    for (AutoCloseable each : opened) {
      each.close();
    }
    running.forEach(InstanceDaemon::stop);
  }

  // Internals

  private HttpRequest request(int instance, String body, String key) {
    URI uri = URI.create(address(instance) + "/v1/services/" + SERVICE + "/requests");
    HttpRequest.Builder request =
        HttpRequest.newBuilder(uri)
            .header("primrosegauge-customer", "depot")
            .POST(HttpRequest.BodyPublishers.ofString(body));
    if (!key.isEmpty()) {
      request.header("idempotency-key", key);
    }
    return request.build();
  }

  private HttpResponse<String> put(String path, String body) throws Exception {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create(address(0) + path))
            .header("Primrosegauge-Request-Id", "configure")
            .header("Primrosegauge-Expected-Revision", "0")
            .PUT(HttpRequest.BodyPublishers.ofString(body))
            .build();
    return http.send(request, HttpResponse.BodyHandlers.ofString());
  }

  private NodeSettings settings(int instance) {
    List<PeerSettings> peers = new ArrayList<>();
    for (int i = 0; i < DOMAINS.size(); i++) {
      if (i != instance) {
        HostPort address = new HostPort(HOST, ports.get(2 * i + 1));
        peers.add(new PeerSettings(id(i), domain(i), address, true));
      }
    }
    return NodeSettings.builder(
            new InstanceSettings(
                id(instance), new RegionId("selangor"), domain(instance), true, Optional.empty()),
            endpoint(ports.get(2 * instance)),
            endpoint(ports.get(2 * instance + 1)))
        .peers(peers)
        .timeouts(TIMEOUTS)
        .tls(TlsSettings.OFF)
        .build();
  }

  private static EndpointSettings endpoint(int port) {
    HostPort address = new HostPort(HOST, port);
    return new EndpointSettings(address, address);
  }

  private static InstanceId id(int instance) {
    return new InstanceId("instance-" + instance);
  }

  private static FailureDomainId domain(int instance) {
    return new FailureDomainId(DOMAINS.get(instance));
  }

  private String address(int instance) {
    return "http://" + HOST + ":" + ports.get(2 * instance);
  }
}
