package org.primrosegauge.bench.fault;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.primrosegauge.bench.fault.HistoryEvent.Kind;

/**
 * Plays the part of a schedule that needs no signals, with load from callers and operators beside
 * it.
 *
 * <p>Life-cycle: {@link #run} plays one schedule and returns when the last job has been asked for.
 *
 * @since 0.1
 */
public final class FaultDriver {

  private static final long STEP_MILLIS = 20;
  private static final long SUBMIT_MILLIS = 400;
  private static final long WATCH_MILLIS = 500;
  private static final long SETTLE_MILLIS = 10_000;
  private static final long LAST_ANSWER_MILLIS = 30_000;
  private static final int MAX_TASKS = 4;
  private static final int MIN_RUN_MILLIS = 200;
  private static final int RUN_SPREAD_MILLIS = 1_500;
  private static final int FIRST_QUOTA = 64;
  private static final Set<String> FINAL =
      Set.of("SUCCEEDED", "FAILED", "CANCELLED", "OUTCOME_UNKNOWN");

  private record Job(String id, int tasks, boolean repeatable, int millis) {}

  private final LinkRelay relay;
  private final HistoryWriter history;
  private final FaultClient client;
  private final UniformRandomProvider random;
  private final ExecutorService operators = Executors.newCachedThreadPool();
  private final Queue<Job> unsure = new ConcurrentLinkedQueue<>();
  private final Map<String, Job> open = new ConcurrentHashMap<>();
  private volatile long revision;
  private int jobs;

  /**
   * Creates a driver.
   *
   * @since 0.1
   */
  public FaultDriver(FaultSite site, LinkRelay relay, HistoryWriter history, long seed) {
    this.relay = relay;
    this.history = history;
    this.client = new FaultClient(site, history);
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(~seed);
  }

  /**
   * Hands the site its first configuration.
   *
   * @return whether it was accepted in time
   * @since 0.1
   */
  public boolean configure() throws InterruptedException {
    long end = System.currentTimeMillis() + LAST_ANSWER_MILLIS;
    while (System.currentTimeMillis() < end) {
      HistoryEvent event =
          client.configure("klang-1", 0, "first", FaultSite.configuration(FIRST_QUOTA));
      if (event.status() == 200 && event.state().equals("in-force")) {
        revision = event.revision();
        return true;
      }
      TimeUnit.MILLISECONDS.sleep(WATCH_MILLIS);
    }
    return false;
  }

  /**
   * Plays a schedule, then waits until the site has settled and asks for every job.
   *
   * @since 0.1
   */
  public void run(List<FaultStep> steps, long startMillis) throws InterruptedException {
    ExecutorService callers = Executors.newFixedThreadPool(2);
    long end = steps.get(steps.size() - 1).atMillis() + SETTLE_MILLIS;
    callers.execute(() -> submitUntil(startMillis + end - SETTLE_MILLIS));
    callers.execute(() -> watchUntil(startMillis + end));
    for (FaultStep step : steps) {
      TimeUnit.MILLISECONDS.sleep(
          Math.max(0, startMillis + step.atMillis() - System.currentTimeMillis()));
      play(step);
    }
    callers.shutdown();
    callers.awaitTermination(LAST_ANSWER_MILLIS * 2, TimeUnit.MILLISECONDS);
    operators.shutdown();
    operators.awaitTermination(LAST_ANSWER_MILLIS, TimeUnit.MILLISECONDS);
    askForAll();
  }

  private void play(FaultStep step) {
    long now = System.currentTimeMillis();
    history.write(
        new HistoryEvent(
            now, now, Kind.FAULT, step.subject(), "", 0, "", -1, step.action().name()));
    switch (step.action()) {
      case CUT -> relay.cut(step.subject());
      case HEAL -> relay.heal(step.subject());
      case OUT -> operators.execute(() -> client.switchDomain(first(step), step.subject(), true));
      case IN -> operators.execute(() -> client.switchDomain(first(step), step.subject(), false));
      case RACE -> race(step);
      default -> {
        // The launcher sends the signals.
      }
    }
  }

  private static String first(FaultStep step) {
    return step.subject() + "-1";
  }

  private void race(FaultStep step) {
    long expected = revision;
    for (String instance : List.of("klang-2", "penang-1")) {
      int quota = FIRST_QUOTA + Math.floorMod((instance + step.atMillis()).hashCode(), 1_000);
      String id = "race-" + step.atMillis() + "-" + instance;
      operators.execute(
          () -> {
            String content = FaultSite.configuration(quota);
            HistoryEvent event = client.configure(instance, expected, id, content);
            if (event.status() == 0 || event.status() >= 500) {
              event = client.configure(instance, expected, id, content);
            }
            if (event.status() == 200) {
              revision = Math.max(revision, event.revision());
            }
          });
    }
  }

  private void submitUntil(long endMillis) {
    while (System.currentTimeMillis() < endMillis) {
      Job again = unsure.poll();
      submit(again == null ? next() : again);
      pause(SUBMIT_MILLIS);
    }
    unsure.forEach(this::submit);
  }

  private Job next() {
    String domain = FaultSite.DOMAINS.get(random.nextInt(FaultSite.DOMAINS.size()));
    return new Job(
        domain + ".job-" + jobs++,
        1 + random.nextInt(MAX_TASKS),
        random.nextBoolean(),
        MIN_RUN_MILLIS + random.nextInt(RUN_SPREAD_MILLIS));
  }

  private void submit(Job job) {
    HistoryEvent event =
        client.submit(anyInstance(), job.id(), job.tasks(), job.repeatable(), job.millis());
    if (event.status() == 202) {
      open.put(job.id(), job);
    } else {
      unsure.add(job);
    }
  }

  private void watchUntil(long endMillis) {
    UniformRandomProvider draw = RandomSource.XO_RO_SHI_RO_128_PP.create(jobs);
    while (System.currentTimeMillis() < endMillis) {
      for (String instance : FaultSite.INSTANCES) {
        client.status(instance);
      }
      for (String job : new LinkedHashMap<>(open).keySet()) {
        int chosen = draw.nextInt(FaultSite.INSTANCES.size());
        ask(FaultSite.INSTANCES.get(chosen), job);
      }
      pause(WATCH_MILLIS);
    }
  }

  private void askForAll() {
    long end = System.currentTimeMillis() + LAST_ANSWER_MILLIS;
    while (!open.isEmpty() && System.currentTimeMillis() < end) {
      for (String job : new LinkedHashMap<>(open).keySet()) {
        ask(anyInstance(), job);
      }
      pause(WATCH_MILLIS);
    }
  }

  private void ask(String instance, String job) {
    HistoryEvent event = client.show(instance, job);
    if (event.status() == 200 && FINAL.contains(event.state())) {
      open.remove(job);
    }
  }

  private synchronized String anyInstance() {
    return FaultSite.INSTANCES.get(random.nextInt(FaultSite.INSTANCES.size()));
  }

  private static void pause(long millis) {
    try {
      TimeUnit.MILLISECONDS.sleep(Math.max(STEP_MILLIS, millis));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
