package org.primrosegauge.bench.scope;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.primrosegauge.standin.scope.EventKind;
import org.primrosegauge.standin.scope.EventMeter;

/**
 * Processor time that the real decisions take on the thread of the benchmark; the emulated thread
 * is busy for as long, and for what the emulator leaves out besides.
 *
 * <p>Not thread-safe; one for each scope.
 */
final class EventTimes implements EventMeter {

  /** What the emulator leaves out: decoding, the entry in the log, the answer. */
  private static final long LEFT_OUT_NANOS = 60_000;

  private static final long MOST_NANOS = TimeUnit.MINUTES.toNanos(1);
  private static final int DIGITS = 3;

  private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();
  private final Histogram events = new Histogram(MOST_NANOS, DIGITS);
  private final Histogram passes = new Histogram(MOST_NANOS, DIGITS);
  private long beganNanos;
  private long allNanos;
  private long allExamined;

  @Override
  public void begin() {
    beganNanos = threads.getCurrentThreadCpuTime();
  }

  @Override
  public long end(EventKind kind, long examined) {
    long nanos = Math.max(0, threads.getCurrentThreadCpuTime() - beganNanos);
    boolean isPass = kind == EventKind.PLAN;
    (isPass ? passes : events).recordValue(Math.min(nanos, MOST_NANOS));
    allNanos += nanos;
    allExamined += examined;
    return nanos + (isPass ? 0 : LEFT_OUT_NANOS);
  }

  /** Returns the times of all events but planning, in nanoseconds. */
  Histogram events() {
    return events;
  }

  /** Returns the times of all planning passes, in nanoseconds. */
  Histogram passes() {
    return passes;
  }

  /** Returns the time for each event, planning included, in nanoseconds. */
  double nanosPerEvent() {
    return (double) allNanos / events.getTotalCount();
  }

  /** Returns the time of all passes, in nanoseconds. */
  double passNanos() {
    return passes.getMean() * passes.getTotalCount();
  }

  /** Returns what was looked at for each event, planning included. */
  double examinedPerEvent() {
    return (double) allExamined / events.getTotalCount();
  }
}
