import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * A schedule is handed in whose first times lie in the past. The jobs that were accepted before are
 * asked for afterwards.
 */
final class ScheduleCase extends Case {

  private static final String PREFIX = "/plan1/";
  private static final String KEY = "d4a3hwrr6x73d3zji9n7";
  private static final int EXECUTORS = 8;
  private static final int JOBS = 10;
  private static final int FINISH_MILLIS = 14_000;
  private static final int ASKED_MILLIS = 30_000;
  /** A requester sends a call once, and four times more if it gets no answer. */
  private static final int ATTEMPTS = 5;
  private static final long DAY_MILLIS = 24L * 60 * 60 * 1_000;
  private static final int INTERVAL_MILLIS = 10_000;
  private static final int REPETITIONS = 8_640;

  public static void main(String[] args) {
    main(new ScheduleCase(), args);
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
        manifest(1, Map.of(PREFIX, 1), List.of(tenant("kaje80", List.of(KEY), 0)));
    if (!order("PUT", "/api/configuration", manifest, 200, controls.toArray(new String[0]))) {
      return NOT_RUN;
    }
    List<String> zones = List.of("klang", "penang", "johor", "kuantan");
    for (int i = 0; i < EXECUTORS; i++) {
      addExecutor(i, zones.get(i % 4), controls);
    }
    awaitService(PREFIX, KEY);
    Thread.sleep(5_000);
    List<String> jobs = new ArrayList<>();
    for (int i = 0; i < JOBS; i++) {
      String id = newJob(1);
      Http.Response response = call(site.front(i % 2), "POST", PREFIX + id, KEY, job(5_000, 2, 1));
      record.line("REQUESTER submits %s, gets %d", id, response.status());
      if (response.status() != 200) {
        return NOT_RUN;
      }
      jobs.add(id);
    }
    long startAt = System.currentTimeMillis() - (hasTrouble ? DAY_MILLIS : 0);
    String schedule =
        "{\"spec\":\"run 5000\",\"steps\":[{\"count\":2,\"cpu\":10,\"task_memory_mb\":4,"
            + "\"estimated_runtime_ms\":5000}],\"repetitions\":" + REPETITIONS
            + ",\"start_at_ms\":" + startAt + ",\"interval_ms\":" + INTERVAL_MILLIS + "}";
    String id = newJob(0);
    Http.Response accepted = call(site.front(0), "POST", PREFIX + id, KEY, schedule);
    record.line("REQUESTER submits %s, gets %d: %s", id, accepted.status(), schedule);
    if (accepted.status() != 200) {
      return NOT_RUN;
    }
    Thread.sleep(FINISH_MILLIS);
    return ask(jobs);
  }

  /** Asks for the jobs in turn; one that gets no answer breaks the rule. */
  private int ask(List<String> jobs) throws InterruptedException {
    long end = record.nowMillis() + ASKED_MILLIS;
    int asked = 0;
    int unanswered = 0;
    for (int i = 0; record.nowMillis() < end; i++) {
      String id = jobs.get(i % jobs.size());
      asked++;
      unanswered += isAnswered(id) ? 0 : 1;
      Thread.sleep(300);
    }
    record.line("CHECK jobs asked for: %d times, without an answer: %d", asked, unanswered);
    record.line("CHECK starts in all: %d", starts.size());
    return unanswered > 0 ? BROKEN : HELD;
  }

  private boolean isAnswered(String id) throws InterruptedException {
    for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
      Http.Response response =
          call(site.front(attempt % 2), "GET", PREFIX + id, KEY, null);
      record.line(
          "REQUESTER asks for %s, attempt %d, gets %d %s",
          id, attempt + 1, response.status(), response.body());
      if (response.status() == 200) {
        return true;
      }
      // As long as the answer's Retry-After says.
      Thread.sleep(1_000);
    }
    return false;
  }
}
