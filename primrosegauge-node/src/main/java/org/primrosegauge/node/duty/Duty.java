package org.primrosegauge.node.duty;

import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;
import org.jctools.queues.MpscArrayQueue;
import org.primrosegauge.core.ErrorKind;
import org.primrosegauge.core.PrimrosegaugeException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.publisher.Mono;

/**
 * One thread with one duty. It takes tasks from a bounded ring, in the order in which they were
 * offered, and calls a tick function at a fixed interval between them. What a batch of tasks makes
 * necessary only once is done by its {@link Settling} between two batches.
 *
 * <p>State that only the duty's tasks and tick touch needs no locks. {@link #offer} and {@link
 * #ask} may be called from any thread. Life-cycle: {@link #start} once, then {@link #close} once;
 * tasks still in the ring when it is closed are not run.
 *
 * @since 0.1
 */
public final class Duty implements AutoCloseable {

  private static final Logger LOG = LoggerFactory.getLogger(Duty.class);
  private static final int MAX_TASKS_IN_BATCH = 256;

  /** Longest time between two looks at what else is due, unless one task alone takes longer. */
  private static final long LONGEST_BATCH_MILLIS = 20;

  private static final long SHORTEST_TICK_MILLIS = 5;
  private static final long CLOSE_TIMEOUT_MILLIS = 5_000;

  /** A task with the time at which it was handed over. */
  private record Queued(Runnable task, long atMillis) {}

  /**
   * Work that follows from any number of tasks and is done once for all of them. Both methods are
   * called on the duty's thread.
   *
   * @since 0.3
   */
  public interface Settling {

    /** Has nothing to do, ever. */
    Settling NOTHING =
        new Settling() {
          @Override
          public void settle(long nowMillis) {}

          @Override
          public long dueMillis() {
            return Long.MAX_VALUE;
          }
        };

    /** Does what is due; called between two batches of tasks, not before {@link #dueMillis}. */
    void settle(long nowMillis);

    /** Returns when something is due, in the clock's milliseconds; long past for at once. */
    long dueMillis();
  }

  private final String name;
  private final MpscArrayQueue<Queued> ring;
  private final long tickMillis;
  private final MonotonicClock clock;
  private final LongConsumer tick;
  private final LongSupplier wakeAt;
  private final Settling settling;
  private final Thread thread;
  private volatile boolean closed;
  private volatile boolean parked;

  // Touched by the duty's thread only.
  private final DutyLoad load = new DutyLoad();
  private long nextTick;
  private long earliestTick;

  /**
   * Creates a duty that does not run yet.
   *
   * @param name name of the thread
   * @param capacity most tasks that wait in the ring
   * @param tickMillis interval of the tick function, in milliseconds
   * @param clock source of the present
   * @param tick called with the present; a failure is logged and does not end the duty
   * @since 0.1
   */
  public Duty(String name, int capacity, long tickMillis, MonotonicClock clock, LongConsumer tick) {
    this(name, capacity, tickMillis, clock, tick, () -> Long.MAX_VALUE);
  }

  /**
   * Creates a duty that ticks earlier than its interval when something is due.
   *
   * @param wakeAt returns when something is due next, in the clock's milliseconds; asked on the
   *     duty's thread
   * @since 0.1
   */
  public Duty(
      String name,
      int capacity,
      long tickMillis,
      MonotonicClock clock,
      LongConsumer tick,
      LongSupplier wakeAt) {
    this(name, capacity, tickMillis, clock, tick, wakeAt, Settling.NOTHING);
  }

  /**
   * Creates a duty that settles what its tasks ask for between batches of them.
   *
   * @since 0.3
   */
  public Duty(
      String name,
      int capacity,
      long tickMillis,
      MonotonicClock clock,
      LongConsumer tick,
      LongSupplier wakeAt,
      Settling settling) {
    this.name = name;
    this.ring = new MpscArrayQueue<>(capacity);
    this.tickMillis = tickMillis;
    this.clock = clock;
    this.tick = tick;
    this.wakeAt = wakeAt;
    this.settling = settling;
    this.thread = new Thread(this::run, name);
    this.thread.setDaemon(true);
  }

  // Life-cycle

  /**
   * Starts the thread.
   *
   * @since 0.1
   */
  public void start() {
    thread.start();
  }

  @Override
  public void close() {
    closed = true;
    LockSupport.unpark(thread);
    if (Thread.currentThread() == thread) {
      return;
    }
    try {
      thread.join(CLOSE_TIMEOUT_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  // Main API

  /**
   * Hands over a task.
   *
   * @return false when the ring is full or the duty is closed; the task will not run
   * @since 0.1
   */
  public boolean offer(Runnable task) {
    if (closed || !ring.offer(new Queued(task, clock.nowMillis()))) {
      return false;
    }
    if (parked) {
      LockSupport.unpark(thread);
    }
    return true;
  }

  /**
   * Runs a task on the duty's thread and returns what it returned. The task is handed over when the
   * result is subscribed to; an error of kind {@link ErrorKind#OVER_LIMIT} says that the ring was
   * full and the task did not run.
   *
   * @since 0.1
   */
  public <T> Mono<T> ask(Callable<T> task) {
    return Mono.create(
        sink -> {
          boolean taken =
              offer(
                  () -> {
                    try {
                      sink.success(task.call());
                    } catch (Exception e) {
                      sink.error(e);
                    }
                  });
          if (!taken) {
            sink.error(fullRing());
          }
        });
  }

  /**
   * Tells whether the calling thread is the duty's.
   *
   * @since 0.1
   */
  public boolean isCurrentThread() {
    return Thread.currentThread() == thread;
  }

  /**
   * Returns what the duty did since the last call, and begins to count anew. To be called on the
   * duty's thread.
   *
   * @since 0.3
   */
  public DutyLoad.Figures takeLoad() {
    return load.take(ring.size());
  }

  // Internals

  private PrimrosegaugeException fullRing() {
    return new PrimrosegaugeException(
        ErrorKind.OVER_LIMIT, "the " + name + " ring is full", "come back in a second", "");
  }

  private void run() {
    begin();
    while (!closed) {
      long pause = turn();
      if (pause > 0) {
        parkFor(pause);
      }
    }
  }

  /** Begins the interval of ticks. */
  void begin() {
    nextTick = clock.nowMillis();
    earliestTick = nextTick;
  }

  /**
   * Runs one batch of tasks, then settles and ticks if that is due.
   *
   * @return time for which there is nothing to do, in milliseconds
   */
  long turn() {
    boolean isBusy = drain() > 0;
    long now = clock.nowMillis();
    if (now >= settling.dueMillis()) {
      guarded(() -> settling.settle(now));
      isBusy = true;
    }
    // The pause bounds the rate of ticks of a duty that always has something due.
    long due = Math.max(earliestTick, Math.min(nextTick, wakeAt.getAsLong()));
    if (now >= due) {
      guarded(() -> tick.accept(now));
      nextTick = now + tickMillis;
      earliestTick = now + SHORTEST_TICK_MILLIS;
      isBusy = true;
    }
    return isBusy ? 0 : Math.min(due, settling.dueMillis()) - now;
  }

  private int drain() {
    int ran = 0;
    long endMillis = clock.nowMillis() + LONGEST_BATCH_MILLIS;
    long beganMillis = clock.nowMillis();
    Queued next;
    while (ran < MAX_TASKS_IN_BATCH && beganMillis < endMillis && (next = ring.poll()) != null) {
      guarded(next.task());
      long endedMillis = clock.nowMillis();
      load.ran(beganMillis - next.atMillis(), endedMillis - beganMillis);
      beganMillis = endedMillis;
      ran++;
    }
    return ran;
  }

  private void guarded(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      LOG.error("task of duty {} failed", name, e);
    }
  }

  private void parkFor(long millis) {
    parked = true;
    // The second look at the ring closes the gap in which an offer saw parked as false.
    if (ring.isEmpty() && !closed) {
      LockSupport.parkNanos(this, TimeUnit.MILLISECONDS.toNanos(millis));
    }
    parked = false;
  }
}
