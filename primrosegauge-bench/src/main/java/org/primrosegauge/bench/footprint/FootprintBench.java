package org.primrosegauge.bench.footprint;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;
import org.primrosegauge.bench.Figure;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.ServiceId;
import org.primrosegauge.core.TargetId;
import org.primrosegauge.standin.ExecutorStandin;
import org.primrosegauge.standin.TargetHost;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;

/**
 * Measures the instances that its arguments name, first idle and then with a fixed rate of service
 * requests. It starts no process: {@code bin/bench footprint} starts the instances. The figure of
 * each kind is the highest of the instances.
 *
 * @since 0.1
 */
public final class FootprintBench {

  private static final double MAX_RESIDENT_MB = 64;
  private static final double MAX_CPU_PERCENT = 3.4;
  private static final double MAX_KB_PER_SECOND = 15;
  private static final double BYTES_PER_KB = 1_000;
  private static final int PERCENT = 100;
  private static final int OK = 200;
  private static final int EXECUTORS = 30;
  private static final int SLOTS = 8;
  private static final int CONNECTIONS = 60;
  private static final int REQUESTS_PER_SECOND = 100;
  private static final int MOST_IN_FLIGHT = 64;
  private static final Duration ANNOUNCE_INTERVAL = Duration.ofMillis(500);
  private static final Duration SERVICE_TIME = Duration.ofMillis(5);
  private static final Duration POLL_INTERVAL = Duration.ofMillis(250);
  private static final Duration SETTLE_TIME = Duration.ofSeconds(10);
  private static final Duration WINDOW = Duration.ofSeconds(10);
  private static final String SERVICE = "kutipan-core";
  private static final String CUSTOMER = "food-courts";
  private static final String DOMAIN = "klang";
  private static final byte[] BODY = "twelve drums, lot 7".getBytes(StandardCharsets.UTF_8);

  private final HttpClient http = HttpClient.create().disableRetry(true);
  private final List<ProcessProbe> probes;
  private final List<TargetHost> hosts = new ArrayList<>();
  private final AtomicLong good = new AtomicLong();

  private FootprintBench(List<ProcessProbe> probes) {
    this.probes = probes;
  }

  /**
   * Entry point.
   *
   * @param args file of the site's configuration, then PID@ADDRESS of each instance
   * @since 0.1
   */
  public static void main(String[] args) throws IOException, InterruptedException {
    List<ProcessProbe> probes = Stream.of(args).skip(1).map(ProcessProbe::parse).toList();
    new FootprintBench(probes).run(Files.readAllBytes(Path.of(args[0])));
    System.exit(0);
  }

  private void run(byte[] site) throws IOException, InterruptedException {
    until(configure(site));
    measure("footprint.idle");
    attachExecutors();
    until(answered(0));
    Disposable load =
        Flux.interval(Duration.ofNanos(TimeUnit.SECONDS.toNanos(1) / REQUESTS_PER_SECOND))
            .onBackpressureDrop()
            .flatMap(
                number -> answered((int) (number % probes.size())).doOnNext(this::count),
                MOST_IN_FLIGHT)
            .subscribe();
    measure("footprint.loaded");
    load.dispose();
    hosts.forEach(TargetHost::close);
  }

  private void count(boolean isGood) {
    if (isGood) {
      good.incrementAndGet();
    }
  }

  /** Waits for a steady state, then measures over one window. */
  private void measure(String name) throws IOException, InterruptedException {
    Thread.sleep(SETTLE_TIME.toMillis());
    List<ProcessProbe.Sample> before = samples();
    final long goodBefore = good.get();
    Thread.sleep(WINDOW.toMillis());
    List<ProcessProbe.Sample> after = samples();
    double resident = 0;
    double cpu = 0;
    double bytes = 0;
    for (int i = 0; i < probes.size(); i++) {
      double nanos = after.get(i).nanos() - before.get(i).nanos();
      long cpuNanos = after.get(i).cpuNanos() - before.get(i).cpuNanos();
      double seconds = nanos / TimeUnit.SECONDS.toNanos(1);
      resident = Math.max(resident, after.get(i).residentMb());
      cpu = Math.max(cpu, PERCENT * cpuNanos / nanos);
      bytes = Math.max(bytes, (after.get(i).bytes() - before.get(i).bytes()) / seconds);
    }
    print(name + ".resident", resident, "MB", MAX_RESIDENT_MB);
    print(name + ".cpu", cpu, "% of a core", MAX_CPU_PERCENT);
    print(name + ".between-instances", bytes / BYTES_PER_KB, "KB/s", MAX_KB_PER_SECOND);
    double rate = (good.get() - goodBefore) / (double) WINDOW.toSeconds();
    System.err.println(name + ": " + rate + " good answers a second over all instances");
  }

  private List<ProcessProbe.Sample> samples() throws IOException, InterruptedException {
    List<ProcessProbe.Sample> samples = new ArrayList<>();
    for (ProcessProbe probe : probes) {
      samples.add(probe.sample());
    }
    return samples;
  }

  /** Spreads the executors over the instances, which forward to each other when they have to. */
  private void attachExecutors() {
    for (ProcessProbe probe : probes) {
      TargetHost host = new TargetHost(List.of(probe.address()), ANNOUNCE_INTERVAL, SERVICE_TIME);
      host.start("127.0.0.1", 0);
      hosts.add(host);
    }
    for (int i = 0; i < EXECUTORS; i++) {
      TargetHost host = hosts.get(i % hosts.size());
      TargetId id = new TargetId("executor-" + i);
      host.add(
          new ExecutorStandin(
              id,
              new ServiceId(SERVICE),
              new FailureDomainId(DOMAIN),
              SLOTS,
              CONNECTIONS,
              host.addressOf(id)));
    }
  }

  private Mono<Boolean> configure(byte[] site) {
    return http.headers(
            headers ->
                headers
                    .set("Primrosegauge-Request-Id", "footprint")
                    .set("Primrosegauge-Expected-Revision", "0"))
        .put()
        .uri(probes.get(0).address() + "/v1/configuration")
        .send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(site)))
        .response()
        .map(response -> response.status().code() == OK);
  }

  private Mono<Boolean> answered(int instance) {
    return http.headers(
            headers ->
                headers
                    .set("primrosegauge-customer", CUSTOMER)
                    .set("primrosegauge-repeatable", "true")
                    .set(HttpHeaderNames.CONTENT_TYPE, "text/plain"))
        .post()
        .uri(probes.get(instance).address() + "/v1/services/" + SERVICE + "/requests")
        .send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(BODY)))
        .responseSingle(
            (response, content) -> content.asByteArray().thenReturn(response.status().code() == OK))
        .onErrorReturn(false);
  }

  private static void until(Mono<Boolean> state) {
    state
        .onErrorReturn(false)
        .defaultIfEmpty(false)
        .filter(holds -> holds)
        .repeatWhenEmpty(empty -> empty.delayElements(POLL_INTERVAL))
        .block();
  }

  private static void print(String name, double value, String unit, double most) {
    System.out.println(new Figure(name, value, unit, Double.NaN, most, false).json());
  }
}
