import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Collectors;

/** The leader is killed while jobs are handed in, and a key is taken away at the same time. */
final class RevokedKeyCase extends Case {

  private static final String PREFIX = "/plan1/";
  private static final String KEY = "d4a3hwrr6x73d3zji9n7";
  private static final String OTHER_KEY = "3hh2b9wu3fexd9dnn2ct";
  private static final int REQUESTERS = 48;
  private static final int ROUNDS = 4;
  private static final int EXECUTORS = 6;

  /** Answer to the only attempt to hand a job in. */
  private record Attempt(String job, int status, int round) {}

  private final List<Attempt> attempts = new CopyOnWriteArrayList<>();
  private volatile boolean isPressing;
  private volatile int round;

  public static void main(String[] args) {
    main(new RevokedKeyCase(), args);
  }

  @Override
  int run() throws Exception {
    site = new Site(java.nio.file.Path.of(tree()), record, 4, 3);
    site.startAll();
    List<String> controls = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      controls.add(site.control(i));
    }
    long version = 1;
    if (!put(version, List.of(KEY), controls)) {
      return NOT_RUN;
    }
    List<String> zones = List.of("klang", "penang", "johor", "kuantan");
    for (int i = 0; i < EXECUTORS; i++) {
      addExecutor(i, zones.get(i % 4), controls);
    }
    awaitService(PREFIX, KEY);
    Thread.sleep(5_000);
    for (round = 1; round <= ROUNDS; round++) {
      isPressing = true;
      List<Thread> requesters = new ArrayList<>();
      for (int i = 0; i < REQUESTERS; i++) {
        String front = site.front(i % 3);
        Thread requester = new Thread(() -> press(front));
        requester.start();
        requesters.add(requester);
      }
      Thread.sleep(700 + random.nextInt(100));
      int leader = site.leader();
      String lost = site.cores.get(leader);
      if (hasTrouble) {
        site.signal(lost, "KILL");
      }
      List<String> others = new ArrayList<>(controls);
      others.remove(leader);
      isPressing = false;
      if (!put(++version, List.of(), others)) {
        return NOT_RUN;
      }
      for (Thread requester : requesters) {
        requester.join();
      }
      Thread.sleep(1_500);
      if (hasTrouble) {
        site.start(lost, false);
      }
      Thread.sleep(9_000);
      if (!put(++version, List.of(KEY), controls)) {
        return NOT_RUN;
      }
      awaitService(PREFIX, KEY);
    }
    Thread.sleep(4_000);
    return check();
  }

  private boolean put(long version, List<String> keys, List<String> controls)
      throws InterruptedException {
    String body =
        manifest(
            version,
            Map.of(PREFIX, 1),
            List.of(tenant("kaje80", keys, 0), tenant("other", List.of(OTHER_KEY), 0)));
    return order(
        "PUT", "/api/configuration", body, 60, controls.toArray(new String[0]));
  }

  /** Hands jobs in one after the other, each once. */
  private void press(String front) {
    while (isPressing) {
      String id = newJob(0);
      int inRound = round;
      Http.Response response = call(front, "POST", PREFIX + id, KEY, job(20, 1, 0));
      attempts.add(new Attempt(id, response.status(), inRound));
      record.line("REQUESTER submits %s at %s, gets %d", id, front, response.status());
      if (response.status() != 200) {
        return;
      }
    }
  }

  private int check() {
    Set<String> started =
        starts.stream()
            .map(each -> each.task().substring(0, each.task().indexOf('.')))
            .collect(Collectors.toCollection(ConcurrentHashMap::newKeySet));
    Map<Integer, Long> byStatus =
        attempts.stream().collect(Collectors.groupingBy(Attempt::status, Collectors.counting()));
    record.line("CHECK answers by status: %s", byStatus);
    long broken = 0;
    for (Attempt attempt : attempts) {
      boolean isRejected = attempt.status() >= 400 && attempt.status() < 500;
      isRejected |= attempt.status() == 503;
      if (isRejected && started.contains(attempt.job())) {
        broken++;
        record.line(
            "CHECK round %d: job %s was rejected with %d, and a task of it started",
            attempt.round(), attempt.job(), attempt.status());
      }
    }
    record.line("CHECK rejected jobs that started: %d", broken);
    if (!byStatus.containsKey(200)) {
      return NOT_RUN;
    }
    return broken > 0 ? BROKEN : HELD;
  }
}
