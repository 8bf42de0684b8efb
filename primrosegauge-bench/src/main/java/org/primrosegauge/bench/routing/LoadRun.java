package org.primrosegauge.bench.routing;

import com.sun.management.OperatingSystemMXBean;
import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * A bounded number of requests with a fixed number in flight, and what they cost.
 *
 * @param latency latencies of good answers, in microseconds
 * @param sent requests sent
 * @param good requests with a good answer
 * @param cpuNanos processor time of the whole process, in nanoseconds
 */
record LoadRun(Histogram latency, int sent, long good, long cpuNanos) {

  private static final double MICROS_PER_MILLI = 1_000;
  private static final int SIGNIFICANT_DIGITS = 3;
  private static final double HIGH_PERCENTILE = 99;
  private static final double MEDIAN = 50;
  private static final Duration TIME_LIMIT = Duration.ofSeconds(30);

  /** Sends requests; each reports whether its answer was good. */
  static LoadRun of(int requests, int inFlight, IntFunction<Mono<Boolean>> request) {
    Histogram latency = new ConcurrentHistogram(SIGNIFICANT_DIGITS);
    OperatingSystemMXBean system =
        (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
    final long cpuBefore = system.getProcessCpuTime();
    Flux.range(0, requests)
        .flatMap(number -> timed(request.apply(number), latency), inFlight)
        .then()
        .block(TIME_LIMIT);
    long cpu = system.getProcessCpuTime() - cpuBefore;
    return new LoadRun(latency, requests, latency.getTotalCount(), cpu);
  }

  private static Mono<Void> timed(Mono<Boolean> request, Histogram latency) {
    return Mono.defer(
        () -> {
          long start = System.nanoTime();
          return request
              .onErrorReturn(false)
              .doOnNext(
                  good -> {
                    if (good) {
                      long nanos = System.nanoTime() - start;
                      latency.recordValue(TimeUnit.NANOSECONDS.toMicros(nanos));
                    }
                  })
              .then();
        });
  }

  double medianMillis() {
    return latency.getValueAtPercentile(MEDIAN) / MICROS_PER_MILLI;
  }

  double highMillis() {
    return latency.getValueAtPercentile(HIGH_PERCENTILE) / MICROS_PER_MILLI;
  }

  double perCoreSecond() {
    return good * (double) TimeUnit.SECONDS.toNanos(1) / cpuNanos;
  }

  double goodPart() {
    return (double) good / sent;
  }
}
