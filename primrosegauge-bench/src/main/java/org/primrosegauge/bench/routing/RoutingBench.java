package org.primrosegauge.bench.routing;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.primrosegauge.bench.Figure;
import org.primrosegauge.core.TargetId;
import org.primrosegauge.standin.ExecutorStandin;
import org.primrosegauge.standin.TargetHost;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;

/**
 * Compares requests through an instance with the same requests straight to the executors, in one
 * process over the loopback. Prints one JSON line a figure.
 *
 * <p>The processor time is that of the whole process: load generator, instance and executors.
 *
 * @since 0.1
 */
public final class RoutingBench {

  private static final int EXECUTORS = 30;
  private static final int FAILING = 3;
  private static final int SLOTS = 8;
  private static final int CONNECTIONS = 60;
  private static final int IN_FLIGHT = 64;
  private static final int WARM_UP_REQUESTS = 5_000;
  private static final int REQUESTS = 20_000;
  private static final int STORM_REQUESTS = 5_000;
  private static final Duration SERVICE_TIME = Duration.ofMillis(5);
  private static final Duration ANNOUNCE_INTERVAL = Duration.ofMillis(500);
  private static final Duration ATTACH_TIME = Duration.ofSeconds(2);
  private static final int OK = 200;
  private static final byte[] BODY = "twelve drums, lot 7".getBytes(StandardCharsets.UTF_8);

  private static final double MAX_LATENCY_RATIO = 2.0;
  private static final double MIN_THROUGHPUT_RATIO = 0.4;
  private static final double MIN_GOOD_PART = 0.99;
  private static final double MAX_AMPLIFICATION = 1.1;

  private final List<ExecutorStandin> executors = new ArrayList<>();
  private final HttpClient http =
      HttpClient.create(ConnectionProvider.create("bench", IN_FLIGHT)).disableRetry(true);

  private RoutingBench() {}

  /**
   * Entry point.
   *
   * @since 0.1
   */
  public static void main(String[] args) {
    new RoutingBench().run();
    System.exit(0);
  }

  private void run() {
    try (BenchInstance instance = new BenchInstance();
        TargetHost host =
            new TargetHost(List.of(instance.address()), ANNOUNCE_INTERVAL, SERVICE_TIME)) {
      host.start("127.0.0.1", 0);
      addExecutors(host);
      Mono.delay(ATTACH_TIME).block();
      measure(instance, host);
    }
  }

  private void measure(BenchInstance instance, TargetHost host) {
    LoadRun.of(WARM_UP_REQUESTS, IN_FLIGHT, number -> direct(host, number));
    LoadRun.of(WARM_UP_REQUESTS, IN_FLIGHT, number -> through(instance));
    LoadRun direct = LoadRun.of(REQUESTS, IN_FLIGHT, number -> direct(host, number));
    print("routing.healthy", LoadRun.of(REQUESTS, IN_FLIGHT, n -> through(instance)), direct);
    failFirst(FAILING);
    print(
        "routing.failing-3-of-30", LoadRun.of(REQUESTS, IN_FLIGHT, n -> through(instance)), direct);
    failFirst(EXECUTORS);
    double retriesBefore = instance.retries();
    LoadRun storm = LoadRun.of(STORM_REQUESTS, IN_FLIGHT, n -> through(instance));
    double retries = instance.retries() - retriesBefore;
    double amplification = (storm.sent() + retries) / storm.sent();
    print(
        new Figure(
            "routing.storm.amplification",
            amplification,
            "",
            Double.NaN,
            MAX_AMPLIFICATION,
            Figure.Bound.VALUE_AT_MOST));
  }

  private void addExecutors(TargetHost host) {
    for (int i = 0; i < EXECUTORS; i++) {
      TargetId id = new TargetId("executor-" + i);
      ExecutorStandin executor =
          new ExecutorStandin(
              id,
              BenchInstance.SERVICE,
              BenchInstance.DOMAIN,
              SLOTS,
              CONNECTIONS,
              host.addressOf(id));
      executors.add(executor);
      host.add(executor);
    }
  }

  private void failFirst(int count) {
    for (int i = 0; i < executors.size(); i++) {
      executors.get(i).fail(i < count);
    }
  }

  private Mono<Boolean> direct(TargetHost host, int number) {
    TargetId id = executors.get(number % EXECUTORS).id();
    return post(http, host.addressOf(id) + "/v1/requests/r" + number + "/1");
  }

  private Mono<Boolean> through(BenchInstance instance) {
    HttpClient client =
        http.headers(
            headers ->
                headers
                    .set("primrosegauge-customer", BenchInstance.CUSTOMER)
                    .set("primrosegauge-repeatable", "true"));
    return post(client, instance.address() + "/v1/services/" + BenchInstance.SERVICE + "/requests");
  }

  private static Mono<Boolean> post(HttpClient client, String uri) {
    return client
        .headers(headers -> headers.set(HttpHeaderNames.CONTENT_TYPE, "text/plain"))
        .post()
        .uri(uri)
        .send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(BODY)))
        .responseSingle(
            (response, content) ->
                content
                    .asByteArray()
                    .defaultIfEmpty(new byte[0])
                    .map(bytes -> response.status().code() == OK && bytes.length == BODY.length));
  }

  private static void print(String name, LoadRun run, LoadRun direct) {
    print(
        new Figure(
            name + ".p50",
            run.medianMillis(),
            "ms",
            direct.medianMillis(),
            MAX_LATENCY_RATIO,
            Figure.Bound.RATIO_AT_MOST));
    print(
        new Figure(
            name + ".p99",
            run.highMillis(),
            "ms",
            direct.highMillis(),
            MAX_LATENCY_RATIO,
            Figure.Bound.RATIO_AT_MOST));
    print(
        new Figure(
            name + ".per-core-second",
            run.perCoreSecond(),
            "requests",
            direct.perCoreSecond(),
            MIN_THROUGHPUT_RATIO,
            Figure.Bound.RATIO_AT_LEAST));
    print(
        new Figure(
            name + ".good-part",
            run.goodPart(),
            "",
            Double.NaN,
            MIN_GOOD_PART,
            Figure.Bound.VALUE_AT_LEAST));
  }

  private static void print(Figure figure) {
    System.out.println(figure.json());
  }
}
