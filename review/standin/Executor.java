import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * One life of an executor that follows PROTOCOL: reports about itself, starts, stops and holds.
 * Each task works for as long as {@link Work} says.
 */
final class Executor {

  private static final int ENDS_AT_ONCE = 500;

  interface Work {
    long millis(String task, int attempt);
  }

  /** What an executor is; the same over its lives. */
  record Kind(
      String id, String zone, String rack, String label, long cpu, long memory, long gpu) {}

  /** One run of a task, for the check at the end. */
  static final class Run {
    final Executor life;
    final String task;
    final int attempt;
    final String spec;
    final long token;
    final long startMillis;
    long endMillis = Long.MAX_VALUE;
    String how = "";
    long number;
    long notedMillis = Long.MAX_VALUE;
    private long workMillis;
    private long stopAtMillis = Long.MAX_VALUE;

    Run(Executor life, String task, int attempt, String spec, long token, long startMillis) {
      this.life = life;
      this.task = task;
      this.attempt = attempt;
      this.spec = spec;
      this.token = token;
      this.startMillis = startMillis;
    }

    @Override
    public String toString() {
      return task + " attempt " + attempt + " on " + life.kind.id() + " (born " + life.born + ")"
          + " from " + startMillis + " to " + (endMillis == Long.MAX_VALUE ? "-" : endMillis)
          + " " + how + " number " + number
          + " noted " + (notedMillis == Long.MAX_VALUE ? "-" : notedMillis);
    }
  }

  final Kind kind;
  final long born = System.currentTimeMillis();
  private final Site site;
  private final Work work;
  private final String address;
  private final long firstBeatDelayMillis;
  private final long startNanos = System.nanoTime();
  private final Http.Server server;
  private final Map<String, Run> running = new LinkedHashMap<>();
  private final Map<String, Integer> highestEnded = new HashMap<>();
  private final List<Run> finished = new ArrayList<>();
  private long highestToken;
  private long leaseUntil;
  private long lastNumber;
  private long sequence;
  volatile boolean silent;
  private volatile boolean dead;

  Executor(
      Site site, Kind kind, Work work, String host, int port, String address,
      long firstBeatDelayMillis)
      throws Exception {
    this.site = site;
    this.kind = kind;
    this.work = work;
    this.address = address;
    this.firstBeatDelayMillis = firstBeatDelayMillis;
    this.server = new Http.Server(host, port, this::handle);
    site.record("executor " + kind.id() + " is up, born " + born + ", address " + address);
    Site.thread("beat", this::beat);
    Site.thread("work", this::tick);
  }

  int port() {
    return server.port();
  }

  /** Ends this life as a kill would. */
  void crash() {
    synchronized (this) {
      dead = true;
      for (Run run : running.values()) {
        run.endMillis = site.now();
        run.how = "crash";
      }
      running.clear();
      notifyAll();
    }
    server.close();
    site.record("executor " + kind.id() + " born " + born + " has crashed");
  }

  boolean isDead() {
    return dead;
  }

  private long clock() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  private void beat() {
    Site.sleep(firstBeatDelayMillis);
    int node = Math.floorMod(kind.id().hashCode(), site.cores.size());
    String preferred = null;
    while (!dead) {
      if (!silent) {
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("service", Site.SERVICE);
        body.put("address", address);
        body.put("zone", kind.zone());
        body.put("version", "v1");
        body.put("slots", 8);
        body.put("state", "ready");
        body.put("cold_remaining_ms", 0);
        body.put(
            "capacity",
            Map.of("cpu", kind.cpu(), "task_memory_mb", kind.memory(), "gpu", kind.gpu()));
        body.put("labels", List.of(kind.label(), kind.rack()));
        body.put("clock_ms", clock());
        body.put("born", born);
        body.put("sequence", ++sequence);
        String host = preferred != null ? preferred : site.cores.get(node % site.cores.size()).ip;
        try {
          Http.Message answer =
              Http.call(
                  host, site.controlPort, "PUT", "/api/instances/" + kind.id(), Map.of(),
                  Json.write(body), 1_000);
          if (answer.status() / 100 != 2) {
            throw new java.io.IOException("status " + answer.status());
          }
          String next = Json.string(Json.object(answer.body()), "heartbeat_address");
          preferred = next.isEmpty() ? preferred : next.substring(0, next.indexOf(':'));
        } catch (Exception e) {
          preferred = null;
          node++;
          Site.sleep(100);
          continue;
        }
      }
      Site.sleep(Site.BEAT_MILLIS);
    }
  }

  private void tick() {
    while (!dead) {
      synchronized (this) {
        long now = site.now();
        boolean lapsed = clock() > leaseUntil;
        for (Run run : List.copyOf(running.values())) {
          if (lapsed) {
            end(run, "lapsed");
          } else if (now >= run.stopAtMillis) {
            end(run, "stopped");
          } else if (now >= run.startMillis + run.workMillis) {
            end(run, "done");
          }
        }
      }
      Site.sleep(5);
    }
  }

  private void end(Run run, String how) {
    running.remove(run.task + " " + run.attempt);
    run.endMillis = site.now();
    run.how = how;
    run.number = ++lastNumber;
    finished.add(run);
    highestEnded.merge(run.task, run.attempt, Math::max);
    site.record("end    " + run);
    notifyAll();
  }

  private Http.Message handle(Http.Message request) throws Exception {
    String expected = request.headers().get("x-expect-instance");
    if (expected != null && !expected.equals(kind.id())) {
      return Http.response(421, "{}");
    }
    if (request.path().equals("/health")) {
      return Http.response(200, "{}");
    }
    Map<String, Object> body = Json.object(request.body());
    long token = Json.number(body, "fencing_token", 0);
    synchronized (this) {
      if (dead) {
        return null;
      }
      if (token < highestToken) {
        return refuse("fence");
      }
      highestToken = token;
    }
    return switch (request.path()) {
      case "/api/run-start" -> start(body, token);
      case "/api/run-stop" -> stop(body);
      case "/api/hold" -> hold(body);
      default -> Http.response(404, "{}");
    };
  }

  private Http.Message refuse(String reason) {
    return Http.response(409, "{\"clock_ms\":" + clock() + ",\"reason\":\"" + reason + "\"}");
  }

  private Http.Message accept() {
    return Http.response(200, "{\"clock_ms\":" + clock() + "}");
  }

  private synchronized void extend(long deadline) {
    leaseUntil = Math.max(leaseUntil, Math.min(deadline, clock() + Site.MAX_HOLD_MILLIS));
  }

  private synchronized Http.Message start(Map<String, Object> body, long token) {
    String task = Json.string(body, "task");
    int attempt = (int) Json.number(body, "attempt", 0);
    long deadline = Json.number(body, "deadline_ms", 0);
    if (running.containsKey(task + " " + attempt)) {
      return accept();
    }
    if (deadline <= clock()) {
      return refuse("late");
    }
    extend(deadline);
    if (attempt <= highestEnded.getOrDefault(task, 0)) {
      return refuse("old");
    }
    Site.Need need = site.needOf(task);
    long cpu = need.cpu();
    long memory = need.memory();
    long gpu = need.gpu();
    for (Run other : running.values()) {
      Site.Need used = site.needOf(other.task);
      cpu += used.cpu();
      memory += used.memory();
      gpu += used.gpu();
    }
    if (cpu > kind.cpu() || memory > kind.memory() || gpu > kind.gpu()) {
      return refuse("room");
    }
    Run run = new Run(this, task, attempt, Json.string(body, "spec"), token, site.now());
    run.workMillis = work.millis(task, attempt);
    running.put(task + " " + attempt, run);
    site.started(run);
    return accept();
  }

  private synchronized Http.Message stop(Map<String, Object> body) {
    String task = Json.string(body, "task");
    int attempt = (int) Json.number(body, "attempt", 0);
    Run run = running.get(task + " " + attempt);
    if (run == null) {
      highestEnded.merge(task, attempt, Math::max);
    } else if (run.stopAtMillis == Long.MAX_VALUE) {
      run.stopAtMillis = site.now() + Site.STOP_MILLIS / 2;
    }
    site.record("stop   " + task + " attempt " + attempt + " at " + kind.id() + " born " + born);
    return accept();
  }

  private synchronized Http.Message hold(Map<String, Object> body) throws InterruptedException {
    long lastSeen = Json.number(body, "last_seen", 0);
    if (body.containsKey("deadline_ms")) {
      extend(Json.number(body, "deadline_ms", 0));
    }
    for (Run run : List.copyOf(finished)) {
      if (run.number <= lastSeen) {
        run.notedMillis = site.now();
        finished.remove(run);
      }
    }
    long end = System.currentTimeMillis() + Math.min(2_000, Json.number(body, "wait_ms", 0));
    long left;
    while (!dead && finished.isEmpty() && (left = end - System.currentTimeMillis()) > 0) {
      wait(left);
    }
    if (dead) {
      return null;
    }
    List<Object> runs = new ArrayList<>();
    for (Run run : running.values()) {
      long percent = Math.min(99, 100 * (site.now() - run.startMillis) / run.workMillis);
      runs.add(List.of(run.task, run.attempt, "", percent, 0));
    }
    List<Object> ends = new ArrayList<>();
    for (Run run : finished.subList(0, Math.min(ENDS_AT_ONCE, finished.size()))) {
      ends.add(List.of(run.number, run.task, run.attempt, run.how, ""));
    }
    Map<String, Object> answer = new LinkedHashMap<>();
    answer.put("clock_ms", clock());
    answer.put("born", born);
    answer.put("running", runs);
    answer.put("finished", ends);
    return Http.response(200, Json.write(answer));
  }

  synchronized int runningCount() {
    return running.size();
  }

  synchronized int finishedCount() {
    return finished.size();
  }
}
