package org.primrosegauge.node.request;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
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
import org.primrosegauge.node.transport.PeerAddress;
import org.primrosegauge.node.transport.PeerSecurity;
import org.primrosegauge.node.transport.PeerTransport;
import org.primrosegauge.wire.FrameCodec;
import org.primrosegauge.wire.MessageTypes;
import reactor.netty.http.server.HttpServer;

/** Requests over real connections on the loopback, with executors that misbehave on purpose. */
class RequestPathTest {

  private static final String HOST = "127.0.0.1";
  private static final int MAX_BODY_BYTES = 1_000;
  private static final long PATIENT_MILLIS = 20_000;
  private static final long IMPATIENT_MILLIS = 300;
  private static final InstanceId FIRST = new InstanceId("first");
  private static final InstanceId SECOND = new InstanceId("second");

  private final HttpClient http = HttpClient.newHttpClient();
  private final List<AutoCloseable> opened = new ArrayList<>();
  private FaultyExecutor executor;

  /** One instance without the rest of the daemon. */
  private final class Instance {
    final NodeMetrics metrics = new NodeMetrics();
    final HttpApi api = new HttpApi();
    final PeerTransport transport;
    final RoutingDuty duty;

    Instance(InstanceId self, List<InstanceId> peers, ClaimStore claims) {
      MonotonicClock clock = MonotonicClock.system();
      MessageTypes types = MessageTypes.builder().family("request", RequestMessage.class).build();
      transport = new PeerTransport(self, new FrameCodec(types), metrics, PeerSecurity.NONE);
      duty =
          new RoutingDuty(
              self,
              new FailureDomainId("klang"),
              RoutingSettings.DEFAULTS,
              clock,
              metrics,
              claims,
              transport,
              () -> peers);
      RequestPath.register(duty, api, transport, clock, metrics);
      duty.configured(site());
      duty.start();
      transport.start(HOST, 0);
      api.start(HttpServer.create(), HOST, 0);
      opened.add(api);
      opened.add(transport);
      opened.add(duty);
    }
  }

  private static SiteConfiguration site() {
    Service service =
        new Service(new ServiceId("kutipan-core"), MAX_BODY_BYTES, PATIENT_MILLIS, 10, 10);
    Customer customer = new Customer(new CustomerId("depot"), 0, 1);
    return new SiteConfiguration(
        List.of(), List.of(), List.of(customer), List.of(), List.of(service));
  }

  /** Grants a key once. */
  private static final class OnceStore implements ClaimStore {
    private final java.util.Set<IdempotencyClaim> held = new java.util.HashSet<>();

    @Override
    public void claim(
        RequestId id, IdempotencyClaim claim, java.util.function.Consumer<ClaimResult> callback) {
      ClaimResult taken =
          new ClaimResult.AlreadyClaimed(id, true, Optional.of(ExecutionStatus.RAN));
      callback.accept(held.add(claim) ? new ClaimResult.Granted() : taken);
    }

    @Override
    public void settle(RequestId id, IdempotencyClaim claim, ExecutionStatus execution) {}
  }

  @BeforeEach
  void startExecutor() {
    executor = new FaultyExecutor();
    opened.add(executor);
  }

  @AfterEach
  void closeAll() throws Exception {
    for (AutoCloseable each : opened) {
      each.close();
    }
  }

  @Test
  void wholeAnswerComesBackUntouched() throws Exception {
    Instance instance = new Instance(FIRST, List.of(), new OnceStore());
    announce(instance);
    HttpResponse<String> answer = post(instance, "good", "a body", "");
    assertThat(answer.statusCode()).isEqualTo(200);
    assertThat(answer.body()).isEqualTo("a body");
  }

  @ParameterizedTest
  @CsvSource({
    "wrong-request, outcome-unknown, unknown, 502",
    "wrong-attempt, outcome-unknown, unknown, 502",
    "cut, outcome-unknown, unknown, 502",
    "too-long, outcome-unknown, unknown, 502",
    "no-length, outcome-unknown, unknown, 502",
    "close, outcome-unknown, unknown, 502",
    "error, target-failed, unknown, 502",
    "silent, deadline, unknown, 504",
  })
  void badAnswersBecomeClearErrors(String fault, String kind, String execution, int status)
      throws Exception {
    Instance instance = new Instance(FIRST, List.of(), new OnceStore());
    announce(instance);
    HttpResponse<String> answer = post(instance, fault, "a body", "");
    JsonNode problem = new ObjectMapper().readTree(answer.body());
    assertThat(problem.path("kind").asText()).isEqualTo(kind);
    assertThat(problem.path("execution").asText()).isEqualTo(execution);
    assertThat(answer.statusCode()).isEqualTo(status);
    assertThat(executor.received()).isEqualTo(1);
  }

  @Test
  void requestWithSameKeyRunsOnce() throws Exception {
    Instance instance = new Instance(FIRST, List.of(), new OnceStore());
    announce(instance);
    assertThat(post(instance, "good", "b", "key-1").statusCode()).isEqualTo(200);
    assertThat(post(instance, "good", "b", "key-1").statusCode()).isEqualTo(409);
    assertThat(executor.received()).isEqualTo(1);
  }

  @Test
  void refusedConnectionIsNotRun() throws Exception {
    Instance instance = new Instance(FIRST, List.of(), new OnceStore());
    announce(instance);
    executor.close();
    HttpResponse<String> answer = post(instance, "good", "a body", "");
    JsonNode problem = new ObjectMapper().readTree(answer.body());
    assertThat(problem.path("execution").asText()).isEqualTo("not-run");
    assertThat(answer.headers().firstValue("retry-after")).isPresent();
  }

  @Test
  void instanceWithoutExecutorsForwardsToItsPeer() throws Exception {
    Instance near = new Instance(FIRST, List.of(SECOND), new OnceStore());
    Instance far = new Instance(SECOND, List.of(FIRST), new OnceStore());
    near.transport.connect(new PeerAddress(SECOND, HOST, far.transport.port()));
    far.transport.connect(new PeerAddress(FIRST, HOST, near.transport.port()));
    announce(far);
    HttpResponse<String> answer = null;
    for (int i = 0; i < 200 && (answer == null || answer.statusCode() != 200); i++) {
      announce(far);
      answer = post(near, "good", "a body", "");
    }
    assertThat(answer.body()).isEqualTo("a body");
  }

  @Test
  void drainedInstanceRefusesWithNotRun() throws Exception {
    Instance instance = new Instance(FIRST, List.of(), new OnceStore());
    announce(instance);
    assertThat(instance.duty.drain(Duration.ofSeconds(5)).block()).isTrue();
    HttpResponse<String> answer = post(instance, "good", "a body", "");
    assertThat(new ObjectMapper().readTree(answer.body()).path("execution").asText())
        .isEqualTo("not-run");
    assertThat(instance.metrics.prometheusText()).contains("shutting-down");
  }

  private void announce(Instance instance) throws Exception {
    String body =
        "{\"address\":\"%s\",\"service\":\"kutipan-core\",\"domain\":\"klang\",\"slots\":8,"
            + "\"connections\":60,\"inProgress\":0,\"leaving\":false}";
    URI uri = URI.create("http://" + HOST + ":" + instance.api.port() + "/v1/targets/executors/x1");
    HttpRequest request =
        HttpRequest.newBuilder(uri)
            .POST(HttpRequest.BodyPublishers.ofString(body.formatted(executor.address())))
            .build();
    HttpResponse<String> answer = http.send(request, HttpResponse.BodyHandlers.ofString());
    assertThat(answer.statusCode()).isEqualTo(200);
  }

  private HttpResponse<String> post(Instance instance, String fault, String body, String key)
      throws Exception {
    executor.behave(fault);
    String path = "/v1/services/kutipan-core/requests";
    URI uri = URI.create("http://" + HOST + ":" + instance.api.port() + path);
    HttpRequest.Builder request =
        HttpRequest.newBuilder(uri)
            .header(CallerRoutes.CUSTOMER_HEADER, "depot")
            .POST(HttpRequest.BodyPublishers.ofString(body));
    if (fault.equals("silent")) {
      request.header(ExecutorClient.DEADLINE_HEADER, Long.toString(IMPATIENT_MILLIS));
    }
    if (!key.isEmpty()) {
      request.header(CallerRoutes.KEY_HEADER, key);
    }
    return http.send(request.build(), HttpResponse.BodyHandlers.ofString());
  }
}
