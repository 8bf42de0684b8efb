package org.primrosegauge.node.duty;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;
import org.jctools.queues.MpscArrayQueue;
import org.jctools.queues.MpscUnboundedArrayQueue;
import org.primrosegauge.core.ErrorKind;
import org.primrosegauge.core.PrimrosegaugeException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.publisher.Mono;

/**
 * One thread with one duty. It takes tasks from bounded rings, one for each {@link Rank}, and calls
 * a tick function at a fixed interval between them. Tasks of one rank run in the order in which
 * they were offered; a task runs only when none of an earlier rank waits. What a batch of tasks
 * makes necessary only once is done by its {@link Settling} between two batches.
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

  private static final int ANSWERS_CHUNK = 256;

  /**
   * What a task is worth when not all can run in time; the first comes first.
   *
   * @since 0.3
   */
  public enum Rank {
    /** Keeps up what the duty owes its peers; other work that waits must not end that. */
    FIRST,
    /**
     * Tells the duty what became of something that it asked for. Never refused: there are as many
     * as it has asked for, and it would wait for a lost one for ever.
     */
    ANSWER,
    /** All else. */
    USUAL,
    /** Asks for a change, on behalf of someone outside who waits for a while. */
    CALL,
    /** Asks for what someone outside can ask again; the first that is given up. */
    READ
  }

  private static final List<Rank> RANKS = List.of(Rank.values());

  /** A task with the time at which it was handed over. */
  private record Queued(Rank rank, Runnable task, long atMillis) {}

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
  private final Map<Rank, Queue<Queued>> rings = new EnumMap<>(Rank.class);
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
   * @param capacity most tasks that wait in a ring
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
    this.rings.put(Rank.FIRST, new MpscArrayQueue<>(capacity));
    this.rings.put(Rank.ANSWER, new MpscUnboundedArrayQueue<>(ANSWERS_CHUNK));
    this.rings.put(Rank.USUAL, new MpscArrayQueue<>(capacity));
    this.rings.put(Rank.CALL, new MpscArrayQueue<>(capacity));
    this.rings.put(Rank.READ, new MpscArrayQueue<>(capacity));
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
   * Hands over a task of the usual rank.
   *
   * @return false when the ring is full or the duty is closed; the task will not run
   * @since 0.1
   */
  public boolean offer(Runnable task) {
    return offer(Rank.USUAL, task);
  }

  /**
   * Hands over a task.
   *
   * @return false when the ring of the rank is full or the duty is closed; the task will not run
   * @since 0.3
   */
  public boolean offer(Rank rank, Runnable task) {
    if (closed || !rings.get(rank).offer(new Queued(rank, task, clock.nowMillis()))) {
      return false;
    }
    if (parked) {
      LockSupport.unpark(thread);
    }
    return true;
  }

  /**
   * Runs a task of the usual rank on the duty's thread and returns what it returned. The task is
   * handed over when the result is subscribed to; an error of kind {@link ErrorKind#OVER_LIMIT}
   * says that the ring was full and the task did not run.
   *
   * @since 0.1
   */
  public <T> Mono<T> ask(Callable<T> task) {
    return ask(Rank.USUAL, task);
  }

  /**
   * Runs a task on the duty's thread, as {@link #ask(Callable)} does.
   *
   * @since 0.3
   */
  public <T> Mono<T> ask(Rank rank, Callable<T> task) {
    return Mono.create(
        sink -> {
          boolean taken =
              offer(
                  rank,
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
    return load.take(waiting());
  }

  // Internals

  private int waiting() {
    return rings.values().stream().mapToInt(Queue::size).sum();
  }

  private Queued poll(Rank last) {
    for (Rank rank : RANKS) {
      Queued next = rings.get(rank).poll();
      if (next != null || rank == last) {
        return next;
      }
    }
    return null;
  }

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
   * Runs one batch of tasks, then ticks and settles if that is due. Between the three, tasks of the
   * first rank run, so that they never wait for more than one of them.
   *
   * @return time for which there is nothing to do, in milliseconds
   */
  long turn() {
    boolean isBusy = drain(Rank.READ) > 0;
    drain(Rank.FIRST);
    long now = clock.nowMillis();
    // The pause bounds the rate of ticks of a duty that always has something due.
    long tickDue = Math.max(earliestTick, Math.min(nextTick, wakeAt.getAsLong()));
    if (now >= tickDue) {
      guarded(() -> tick.accept(now));
      nextTick = now + tickMillis;
      earliestTick = now + SHORTEST_TICK_MILLIS;
      drain(Rank.FIRST);
      isBusy = true;
    }
    long settleDue = settling.dueMillis();
    if (now >= settleDue) {
      guarded(() -> settling.settle(clock.nowMillis()));
      isBusy = true;
    }
    return isBusy ? 0 : Math.min(tickDue, settleDue) - now;
  }

  /** Runs tasks of the ranks up to one for a bounded time. */
  private int drain(Rank last) {
    int ran = 0;
    long beganMillis = clock.nowMillis();
    final long endMillis = beganMillis + LONGEST_BATCH_MILLIS;
    Queued next;
    while (ran < MAX_TASKS_IN_BATCH && beganMillis < endMillis && (next = poll(last)) != null) {
      guarded(next.task());
      long endedMillis = clock.nowMillis();
      load.ran(next.rank(), beganMillis - next.atMillis(), endedMillis - beganMillis);
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
    // The second look at the rings closes the gap in which an offer saw parked as false.
    if (waiting() == 0 && !closed) {
      LockSupport.parkNanos(this, TimeUnit.MILLISECONDS.toNanos(millis));
    }
    parked = false;
  }
}
