package org.primrosegauge.node.metrics;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Duration;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Counters and gauges of one instance. Each refusal and retry reason has a counter of its own: the
 * reasons are enums, so that no free text becomes a label.
 *
 * <p>Thread-safe.
 *
 * @since 0.1
 */
public final class NodeMetrics {

  /** Bounds of the histograms' buckets. */
  private static final Duration[] BUCKETS = {
    Duration.ofMillis(5),
    Duration.ofMillis(20),
    Duration.ofMillis(100),
    Duration.ofMillis(250),
    Duration.ofMillis(500),
    Duration.ofSeconds(1),
    Duration.ofMillis(2_500),
    Duration.ofSeconds(5),
    Duration.ofSeconds(10),
    Duration.ofSeconds(30)
  };

  private record TimerKey(String name, String where, String outcome) {}

  private final Map<TimerKey, Timer> timers = new ConcurrentHashMap<>();
  private final PrometheusMeterRegistry registry =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

  /**
   * Returns the registry, for gauges of single parts.
   *
   * @since 0.1
   */
  public MeterRegistry registry() {
    return registry;
  }

  /**
   * Counts one refusal.
   *
   * @param where part of the instance that refused, such as {@code request} or {@code job}
   * @param reason why
   * @since 0.1
   */
  public void refused(String where, Enum<?> reason) {
    count("primrosegauge.refusals", where, reason);
  }

  /**
   * Counts one retry.
   *
   * @param where part of the instance that tries again
   * @param reason why
   * @since 0.1
   */
  public void retried(String where, Enum<?> reason) {
    count("primrosegauge.retries", where, reason);
  }

  /**
   * Counts any other event.
   *
   * @param name name of the counter, with dots
   * @param where part of the instance
   * @param reason which event
   * @since 0.1
   */
  public void count(String name, String where, Enum<?> reason) {
    add(name, where, reason, 1);
  }

  /**
   * Counts several events, or an amount, at once.
   *
   * @param amount what is added to the counter
   * @since 0.3
   */
  public void add(String name, String where, Enum<?> reason, double amount) {
    registry.counter(name, "where", where, "reason", label(reason)).increment(amount);
  }

  /**
   * Notes how long something took, in a histogram.
   *
   * @param name name of the histogram, with dots
   * @param where part of the instance
   * @param outcome how it went
   * @param millis how long it took, in milliseconds
   * @since 0.3
   */
  public void time(String name, String where, Enum<?> outcome, long millis) {
    time(name, where, label(outcome), millis);
  }

  /**
   * Notes how long something took, in a histogram.
   *
   * @param outcome how it went: one of a few words
   * @since 0.3
   */
  public void time(String name, String where, String outcome, long millis) {
    timers
        .computeIfAbsent(new TimerKey(name, where, outcome), this::timer)
        .record(millis, TimeUnit.MILLISECONDS);
  }

  private Timer timer(TimerKey key) {
    return Timer.builder(key.name())
        .tags("where", key.where(), "outcome", key.outcome())
        .serviceLevelObjectives(BUCKETS)
        .register(registry);
  }

  /**
   * Registers a gauge that is read when the metrics are.
   *
   * @since 0.1
   */
  public void gauge(String name, Supplier<Number> value) {
    io.micrometer.core.instrument.Gauge.builder(name, value).register(registry);
  }

  /**
   * Returns all metrics in Prometheus text format.
   *
   * @since 0.1
   */
  public String prometheusText() {
    return registry.scrape();
  }

  private static String label(Enum<?> reason) {
    return reason.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
