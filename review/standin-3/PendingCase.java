import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * All executors but a few are busy, and those few are unhealthy: they reject each start. Jobs that
 * wait for them have not begun, and the queue is asked how many such jobs it has.
 */
final class PendingCase extends Case {

  private static final String BUSY = "/busy1/";
  private static final String PREFIX = "/plan1/";
  private static final String KEY = "d4a3hwrr6x73d3zji9n7";
  private static final int EXECUTORS = 24;
  private static final int UNHEALTHY = 2;
  private static final int JOBS = 2;
  /** visible_ms and the two seconds of the rule. */
  private static final int BOUND_MILLIS = 3_000 + 2_000;
  private static final int UNHEALTHY_MILLIS = 6_500;

  public static void main(String[] args) {
    main(new PendingCase(), args);
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
        manifest(1, Map.of(BUSY, 1, PREFIX, 2), List.of(tenant("kaje80", List.of(KEY), 0)));
    if (!order("PUT", "/api/configuration", manifest, 200, controls.toArray(new String[0]))) {
      return NOT_RUN;
    }
    List<String> zones = List.of("klang", "penang", "johor", "kuantan");
    for (int i = 0; i < EXECUTORS; i++) {
      addExecutor(i, zones.get(i % 4), controls);
    }
    awaitService(PREFIX, KEY);
    Thread.sleep(5_000);
    int filled = EXECUTORS - UNHEALTHY;
    List<String> busyJobs = new ArrayList<>();
    for (int i = 0; i < filled; i++) {
      String id = newJob(8);
      Http.Response accepted = call(site.front(0), "POST", BUSY + id, KEY, job(60_000, 1, 8));
      record.line("REQUESTER submits %s, gets %d", id, accepted.status());
      busyJobs.add(id);
    }
    for (int i = 0; i < 60 && starts.size() < filled + 1; i++) {
      Thread.sleep(250);
    }
    List<String> busyIds =
        starts.stream()
            .filter(each -> busyJobs.stream().anyMatch(each.task()::startsWith))
            .map(Executor.Start::executor)
            .distinct()
            .toList();
    if (busyIds.size() != filled) {
      record.line("only %d executors are busy", busyIds.size());
      return NOT_RUN;
    }
    List<Executor> idle =
        executors.stream().filter(each -> !busyIds.contains(each.id)).collect(Collectors.toList());
    if (hasTrouble) {
      idle.forEach(each -> each.isShedding = true);
      record.line("TROUBLE executors reject starts: %s", idle.stream().map(e -> e.id).toList());
    }
    long unhealthyAt = record.nowMillis();
    List<String> jobs = new ArrayList<>();
    for (int i = 0; i < JOBS; i++) {
      String id = newJob(8);
      Http.Response response = call(site.front(i % 2), "POST", PREFIX + id, KEY, job(2_000, 1, 8));
      record.line("REQUESTER submits %s, gets %d", id, response.status());
      if (response.status() != 200) {
        return NOT_RUN;
      }
      jobs.add(id);
    }
    final long acceptedAt = record.nowMillis();
    int broken = 0;
    while (record.nowMillis() < unhealthyAt + UNHEALTHY_MILLIS) {
      Thread.sleep(250);
      long askedAt = record.nowMillis();
      Http.Response response = call(site.front(0), "GET", PREFIX, KEY, null);
      long notBegun = jobs.stream().filter(this::hasNotBegun).count();
      record.line(
          "REQUESTER asks for the count, gets %d %s; %d jobs have not begun",
          response.status(), response.body(), notBegun);
      if (response.status() == 200 && askedAt > acceptedAt + BOUND_MILLIS && notBegun > 0) {
        long pending = Json.number(Json.object(response.body()), "pending", -1);
        broken += 2 * pending < notBegun ? 1 : 0;
      }
    }
    for (String job : jobs) {
      record.line(
          "REQUESTER asks for %s, gets %s",
          job, call(site.front(0), "GET", PREFIX + job, KEY, null).body());
    }
    idle.forEach(each -> each.isShedding = false);
    Thread.sleep(9_000);
    long begun = jobs.stream().filter(each -> !hasNotBegun(each)).count();
    record.line("CHECK wrong counts: %d; jobs that began in the end: %d", broken, begun);
    return broken > 0 ? BROKEN : HELD;
  }

  private boolean hasNotBegun(String job) {
    return starts.stream().noneMatch(each -> each.task().startsWith(job));
  }
}
