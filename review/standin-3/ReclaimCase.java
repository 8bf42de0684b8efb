import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * A tenant claims what is guaranteed to it, after a burst of large jobs of another tenant has ended
 * during which the urgent tasks of a third one started. All guarantees together fit.
 */
final class ReclaimCase extends Case {

  private static final String URGENT = "/urgent1/";
  private static final String BATCH = "/batch1/";
  private static final String CLAIM_KEY = "d4a3hwrr6x73d3zji9n7";
  private static final String LASTING_KEY = "3hh2b9wu3fexd9dnn2ct";
  private static final String BATCH_KEY = "p0q5hwrr6x73d3zji9n7";
  private static final int EXECUTORS = 8;
  private static final int GPUS = 8;
  private static final int CLAIMED_TASKS = 6;
  private static final int RECLAIM_TIMEOUT_MILLIS = 2_900;
  private static final int BURST_MILLIS = 4_000;
  private static final int WATCH_MILLIS = 30_000;

  public static void main(String[] args) {
    main(new ReclaimCase(), args);
  }

  @Override
  int run() throws Exception {
    site = new Site(java.nio.file.Path.of(tree()), record, 4, 2);
    site.startAll();
    List<String> controls = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      controls.add(site.control(i));
    }
    String manifest =
        manifest(
            1,
            Map.of(URGENT, 0, BATCH, 2),
            List.of(
                tenant("claimant", List.of(CLAIM_KEY), CLAIMED_TASKS * GPUS),
                tenant("lasting", List.of(LASTING_KEY), EXECUTORS),
                tenant("batch", List.of(BATCH_KEY), 0)));
    if (!order("PUT", "/api/configuration", manifest, 200, controls.toArray(new String[0]))) {
      return NOT_RUN;
    }
    List<String> zones = List.of("klang", "penang", "johor", "kuantan");
    for (int i = 0; i < EXECUTORS; i++) {
      addExecutor(i, zones.get(i % 4), controls);
    }
    awaitService(BATCH, BATCH_KEY);
    Thread.sleep(5_000);
    if (hasTrouble) {
      String batch = submit(BATCH, BATCH_KEY, job(BURST_MILLIS, EXECUTORS, GPUS - 1), GPUS - 1);
      if (!awaitStarts(batch, EXECUTORS, 20_000)) {
        return NOT_RUN;
      }
    }
    String fields = ",\"long_running\":true";
    String lasting = submit(URGENT, LASTING_KEY, job(600_000, EXECUTORS, 1, fields), 1);
    if (!awaitStarts(lasting, EXECUTORS, 3_000)) {
      return NOT_RUN;
    }
    // The burst ends, and nothing happens for longer than contact_timeout_ms.
    Thread.sleep(BURST_MILLIS + 6_000);
    String claim = submit(URGENT, CLAIM_KEY, job(2_000, CLAIMED_TASKS, GPUS), GPUS);
    boolean isInTime = awaitStarts(claim, CLAIMED_TASKS, RECLAIM_TIMEOUT_MILLIS);
    boolean isAtAll = isInTime || awaitStarts(claim, CLAIMED_TASKS, WATCH_MILLIS);
    Http.Response state = call(site.front(0), "GET", URGENT + claim, CLAIM_KEY, null);
    record.line(
        "CHECK tasks of the claim begun: %d of %d; in time: %s, within %d ms more: %s, state %s",
        startsOf(claim), CLAIMED_TASKS, isInTime, WATCH_MILLIS, isAtAll, state.body());
    record.line("CHECK executors with a lasting task: %d", executorsOf(lasting));
    return isInTime ? HELD : BROKEN;
  }

  private String submit(String prefix, String key, String body, long gpus) {
    String id = newJob(gpus);
    Http.Response response = call(site.front(0), "POST", prefix + id, key, body);
    record.line("REQUESTER submits %s%s, gets %d: %s", prefix, id, response.status(), body);
    if (response.status() != 200) {
      throw new IllegalStateException("a job was not accepted");
    }
    return id;
  }

  private boolean awaitStarts(String job, int count, long millis) throws InterruptedException {
    long end = record.nowMillis() + millis;
    while (startsOf(job) < count && record.nowMillis() < end) {
      Thread.sleep(20);
    }
    return startsOf(job) >= count;
  }

  private long startsOf(String job) {
    return starts.stream()
        .filter(each -> each.task().startsWith(job))
        .map(Executor.Start::task)
        .distinct()
        .count();
  }

  private long executorsOf(String job) {
    return starts.stream()
        .filter(each -> each.task().startsWith(job))
        .map(Executor.Start::executor)
        .distinct()
        .count();
  }
}
