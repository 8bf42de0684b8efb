package org.primrosegauge.node.metrics;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.Locale;
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
    registry.counter(name, "where", where, "reason", label(reason)).increment();
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
