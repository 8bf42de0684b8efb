import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * A job of several lasting tasks is handed in at an idle site, again and again, and then at another
 * new site. Nothing else is handed in, and nothing fails.
 */
final class LastingCase extends Case {

  private static final String PREFIX = "/plan1/";
  private static final String KEY = "d4a3hwrr6x73d3zji9n7";
  private static final int EXECUTORS = 120;
  private static final int TASKS = 59;
  private static final int GPUS = 8;
  private static final int ROUNDS_PER_SITE = 1;
  /** No site is started, and no job handed in, after these times, so that the script ends in time. */
  private static final int LAST_SITE_MILLIS = 78_000;
  private static final int LAST_ROUND_MILLIS = 90_000;
  /** Six seconds for a task that lasts, and the three seconds of the rule. */
  private static final int BOUND_MILLIS = 6_000 + 3_000;
  private static final int PAUSE_MILLIS = 200;
  private static final int WATCH_MILLIS = 15_000;

  public static void main(String[] args) {
    main(new LastingCase(), args);
  }

  @Override
  int run() throws Exception {
    boolean isBroken = false;
    int played = 0;
    while (!isBroken && record.nowMillis() < LAST_SITE_MILLIS) {
      if (!openSite()) {
        return NOT_RUN;
      }
      for (int i = 0; i < ROUNDS_PER_SITE && !isBroken; i++) {
        if (record.nowMillis() < LAST_ROUND_MILLIS) {
          isBroken = playRound(++played);
        }
      }
      executors.forEach(Executor::close);
      executors.clear();
      site.close();
    }
    return isBroken ? BROKEN : HELD;
  }

  /** Starts a new site and waits until it has been calm for longer than contact_timeout_ms. */
  private boolean openSite() throws Exception {
    site = new Site(java.nio.file.Path.of(tree()), record, 4, 2);
    site.startAll();
    List<String> controls = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      controls.add(site.control(i));
    }
    String manifest =
        manifest(1, Map.of(PREFIX, 1), List.of(tenant("kaje80", List.of(KEY), 0)));
    if (!order("PUT", "/api/configuration", manifest, 200, controls.toArray(new String[0]))) {
      return false;
    }
    List<String> zones = List.of("klang", "penang", "johor", "kuantan");
    for (int i = 0; i < EXECUTORS; i++) {
      addExecutor(i, zones.get(i % 4), controls);
    }
    awaitService(PREFIX, KEY);
    Thread.sleep(4_000);
    return true;
  }

  /** Hands a job in; returns whether the rule was broken. */
  private boolean playRound(int round) throws InterruptedException {
    starts.clear();
    List<String> jobs = submit();
    long acceptedAt = record.nowMillis();
    while (startedTasks() < TASKS && record.nowMillis() < acceptedAt + BOUND_MILLIS) {
      Thread.sleep(50);
    }
    boolean isBroken = startedTasks() < TASKS;
    report(round, acceptedAt);
    if (isBroken) {
      Thread.sleep(WATCH_MILLIS);
      report(round, acceptedAt);
    }
    for (String job : jobs) {
      Http.Response response = call(site.front(0), "DELETE", PREFIX + job, KEY, null);
      record.line("REQUESTER cancels %s, gets %d", job, response.status());
    }
    Thread.sleep(PAUSE_MILLIS);
    return isBroken;
  }

  private void report(int round, long acceptedAt) {
    record.line(
        "CHECK round %d: %d of %d tasks begun %d ms after the ack, %d of %d executors are idle",
        round, startedTasks(), TASKS, record.nowMillis() - acceptedAt,
        EXECUTORS - startedTasks(), EXECUTORS);
  }

  /** Hands the tasks in as one job; without the disruption as jobs of one task each. */
  private List<String> submit() {
    int jobCount = hasTrouble ? 1 : TASKS;
    String fields = ",\"long_running\":true";
    List<String> jobs = new ArrayList<>();
    for (int i = 0; i < jobCount; i++) {
      String id = newJob(GPUS);
      String body = job(600_000, TASKS / jobCount, GPUS, fields);
      Http.Response response = call(site.front(0), "POST", PREFIX + id, KEY, body);
      record.line("REQUESTER submits %s, gets %d: %s", id, response.status(), body);
      if (response.status() != 200) {
        throw new IllegalStateException("a job was not accepted");
      }
      jobs.add(id);
    }
    return jobs;
  }

  private long startedTasks() {
    return starts.stream().map(Executor.Start::task).distinct().count();
  }
}
