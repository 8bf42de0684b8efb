package lab;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * A sound executor as the pages describe it: guards its capacity, its fencing token and the numbers
 * of runs, ends what its lease no longer covers, and lists runs and ends. A task works for the time
 * that its spec says, as "work=MILLIS". The members of a gang begin together once all are present.
 */
final class Executor {

  /** A run that has been started here. */
  final class Run {

    final String task;
    final long attempt;
    final long begunMillis;
    final long workMillis;
    final Gang gang;
    final Past past;
    long workingSince = -1;
    boolean stopping;

    Run(String task, long attempt, long workMillis, Gang gang) {
      this.task = task;
      this.attempt = attempt;
      this.begunMillis = record.now();
      this.workMillis = workMillis;
      this.gang = gang;
      this.past = new Past(Executor.this, task, attempt, begunMillis);
    }

    Executor executor() {
      return Executor.this;
    }
  }

  /** One attempt of a gang, over all executors. */
  static final class Gang {

    final int size;
    final List<Run> present = new ArrayList<>();
    boolean whole;

    Gang(int size) {
      this.size = size;
    }
  }

  /** What a job asks for; the test registers it before it submits the job. */
  record Shape(int cpu, int memory, int gpu, int gang) {}

  /** A run in the history of a case; endMillis is Long.MAX_VALUE while it goes on. */
  static final class Past {

    final Executor executor;
    final String task;
    final long attempt;
    final long beginMillis;
    volatile long endMillis = Long.MAX_VALUE;
    volatile String how = "";

    Past(Executor executor, String task, long attempt, long beginMillis) {
      this.executor = executor;
      this.task = task;
      this.attempt = attempt;
      this.beginMillis = beginMillis;
    }

    boolean isOf(String job) {
      return task.startsWith(job + ".");
    }
  }

  /** All runs of all executors, in the order of their begin. */
  static final List<Past> HISTORY = new CopyOnWriteArrayList<>();

  static final int STOP_MILLIS = 200;
  static final int GANG_TIMEOUT_MILLIS = 3000;
  static final int MAX_HOLD_MILLIS = 10_000;
  private static final int MAX_ENDS = 500;

  /** Time that an answer takes: the way between two zones and back, and the work on the call. */
  private static final int ANSWER_MILLIS = 5;

  static {
    // Without it each answer waits for the acknowledgement of its own head.
    System.setProperty("sun.net.httpserver.nodelay", "true");
  }

  private static final Object LOCK = new Object();
  private static final Map<String, Gang> GANGS = new HashMap<>();
  private static final Map<String, Shape> SHAPES = new HashMap<>();
  private static final ScheduledExecutorService TIMER = Executors.newScheduledThreadPool(4, r -> {
    Thread t = new Thread(r);
    t.setDaemon(true);
    return t;
  });

  final String id;
  final String service;
  final String zone;
  final String address;
  final int number;
  private final Record record;
  private final List<String> control;
  private final HttpServer server;
  private final ExecutorService threads = Executors.newCachedThreadPool(r -> {
    Thread t = new Thread(r);
    t.setDaemon(true);
    return t;
  });
  private final long born = System.currentTimeMillis();
  private final long clockOffset = System.nanoTime() / 1_000_000 - 5_000;
  private final int cpu;
  private final int memory;
  private final int gpu;
  private final Map<String, Run> running = new LinkedHashMap<>();
  private final Map<String, Long> highestEnded = new HashMap<>();
  private final List<Object[]> finished = new ArrayList<>();
  private long ends;
  private long token;
  private long leaseEnd;
  private long sequence;
  private volatile String beatAddress;
  private int nextControl;
  volatile String state = "ready";
  private volatile boolean hasLeft;
  private volatile boolean isDrainAcknowledged;

  Executor(Site site, int number, String service, String zone, int cpu, int memory, int gpu)
      throws IOException {
    this.service = service;
    this.record = site.record;
    this.number = number;
    this.zone = zone;
    this.id = "i-" + number;
    this.cpu = cpu;
    this.memory = memory;
    this.gpu = gpu;
    this.control = site.cores.stream().map(c -> c + ":" + Site.CONTROL).toList();
    this.nextControl = number;
    server = HttpServer.create(new InetSocketAddress(site.workerHost(number), 0), 512);
    address = site.workerHost(number) + ":" + server.getAddress().getPort();
    server.createContext("/", this::serve);
    server.setExecutor(threads);
  }

  /** Registers what the jobs with this id ask for. */
  static void expect(String job, Shape shape) {
    synchronized (LOCK) {
      SHAPES.put(job, shape);
    }
  }

  void start() {
    server.start();
    TIMER.scheduleWithFixedDelay(this::beat, 0, 1500, TimeUnit.MILLISECONDS);
    TIMER.scheduleWithFixedDelay(this::expire, 50, 20, TimeUnit.MILLISECONDS);
  }

  /** The control address that the last answer to a beat named; null if there is none. */
  String beatAddress() {
    return beatAddress;
  }

  private long clock() {
    return System.nanoTime() / 1_000_000 - clockOffset;
  }

  /** The next status report, as it would be sent now. */
  String nextBeat() {
    synchronized (LOCK) {
      sequence++;
      return "{\"service\":\"" + service + "\",\"address\":\"" + address + "\",\"zone\":\"" + zone
          + "\",\"version\":\"v1\",\"slots\":8,\"state\":\"" + state
          + "\",\"cold_remaining_ms\":0,\"capacity\":{\"cpu\":" + cpu + ",\"task_memory_mb\":"
          + memory + ",\"gpu\":" + gpu + "},\"labels\":[\"a\",\"r-" + zone + "\"],\"clock_ms\":"
          + clock() + ",\"born\":" + born + ",\"sequence\":" + sequence
          + (state.equals("draining") ? ",\"drain_remaining_ms\":2000" : "") + "}";
    }
  }

  /** Ends a run that goes on here, as its own program would. */
  void endRun(String task, String how) {
    synchronized (LOCK) {
      Run run = running.get(task);
      if (run != null) {
        end(run, how);
      }
    }
  }

  /** Reports draining until that is acknowledged, serves on, announces its end and ends. */
  void leave(long serveMillis) throws InterruptedException {
    state = "draining";
    record.line(id + " of " + service + " drains");
    while (!isDrainAcknowledged) {
      beat();
      Thread.sleep(50);
    }
    record.line("the draining of " + id + " is acknowledged");
    Thread.sleep(serveMillis);
    for (String to : control) {
      Http.Answer answer = Http.call(to, "DELETE", "/api/instances/" + id, "", "", 1000);
      record.line(id + " announces its end -> " + answer.status());
      if (answer.is2xx()) {
        break;
      }
    }
    hasLeft = true;
    synchronized (LOCK) {
      List.copyOf(running.values()).forEach(run -> end(run, "gone"));
    }
    server.stop(0);
    record.line(id + " has ended");
  }

  private void beat() {
    if (hasLeft) {
      return;
    }
    boolean isDraining = state.equals("draining");
    try {
      for (int i = 0; i <= control.size(); i++) {
        String to = beatAddress != null ? beatAddress : control.get(nextControl++ % control.size());
        Http.Answer answer =
            Http.call(to, "PUT", "/api/instances/" + id, "", nextBeat(), 1000);
        if (answer.is2xx()) {
          Object named = Json.object(answer.body()).get("heartbeat_address");
          beatAddress = named instanceof String ? (String) named : null;
          isDrainAcknowledged |= isDraining;
          return;
        }
        beatAddress = null;
      }
    } catch (RuntimeException e) {
      record.line("beat of " + id + " failed: " + e);
    }
  }

  private void serve(HttpExchange exchange) throws IOException {
    String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
    String expected = exchange.getRequestHeaders().getFirst("X-Expect-Instance");
    if (expected != null && !expected.equals(id)) {
      answer(exchange, 421, "{\"clock_ms\":" + clock() + ",\"born\":" + born + "}");
      return;
    }
    try {
      Map<String, Object> call = Json.object(body);
      switch (exchange.getRequestURI().getPath()) {
        case "/api/run-start" -> runStart(exchange, call);
        case "/api/run-stop" -> runStop(exchange, call);
        case "/api/hold" -> hold(exchange, call);
        case "/health" -> answer(exchange, 200, "{}");
        default -> answer(exchange, 404, "{}");
      }
    } catch (RuntimeException e) {
      record.line("executor " + id + " got a call that it can't read: " + e);
      answer(exchange, 400, "{\"clock_ms\":" + clock() + ",\"born\":" + born + "}");
    }
  }

  private void refuse(HttpExchange exchange, String reason) throws IOException {
    answer(
        exchange,
        409,
        "{\"clock_ms\":" + clock() + ",\"born\":" + born + ",\"reason\":\"" + reason + "\"}");
  }

  private boolean isFenced(Map<String, Object> call) {
    long given = number(call, "fencing_token", 0);
    if (given < token) {
      return true;
    }
    token = given;
    return false;
  }

  private static long number(Map<String, Object> call, String field, long otherwise) {
    Object value = call.get(field);
    return value == null ? otherwise : ((Number) value).longValue();
  }

  private void extend(Map<String, Object> call) {
    long deadline = number(call, "deadline_ms", 0);
    leaseEnd = Math.max(leaseEnd, Math.min(deadline, clock() + MAX_HOLD_MILLIS));
  }

  private void runStart(HttpExchange exchange, Map<String, Object> call) throws IOException {
    String task = (String) call.get("task");
    long attempt = number(call, "attempt", 0);
    String spec = String.valueOf(call.get("spec"));
    String refusal = null;
    Run begun = null;
    synchronized (LOCK) {
      Run known = running.get(task);
      if (isFenced(call)) {
        refusal = "fence";
      } else if (known != null && known.attempt == attempt) {
        extend(call);
      } else if (attempt <= highestEnded.getOrDefault(task, 0L) || known != null) {
        extend(call);
        refusal = "old";
      } else if (number(call, "deadline_ms", 0) <= clock()) {
        refusal = "late";
      } else if (!fits(task)) {
        extend(call);
        refusal = "room";
      } else {
        extend(call);
        Shape shape = SHAPES.get(jobOf(task));
        String gangKey = task.substring(0, task.lastIndexOf('.')) + "/" + attempt;
        Gang gang =
            shape.gang() == 0
                ? null
                : GANGS.computeIfAbsent(gangKey, key -> new Gang(shape.gang()));
        begun = new Run(task, attempt, workOf(spec), gang);
        HISTORY.add(begun.past);
        running.put(task, begun);
        if (gang == null) {
          work(begun);
        } else {
          gang.present.add(begun);
          if (gang.present.size() == gang.size) {
            gang.whole = true;
            gang.present.forEach(run -> run.executor().work(run));
          } else {
            Run waiting = begun;
            TIMER.schedule(
                () -> {
                  synchronized (LOCK) {
                    if (!gang.whole) {
                      end(waiting, "alone");
                    }
                  }
                },
                GANG_TIMEOUT_MILLIS,
                TimeUnit.MILLISECONDS);
          }
        }
      }
    }
    if (begun != null) {
      record.line("run begins: " + task + " attempt " + attempt + " on " + id + " in " + zone
          + " token " + number(call, "fencing_token", 0));
    }
    if (refusal == null) {
      answer(exchange, 200, "{\"clock_ms\":" + clock() + ",\"born\":" + born + "}");
    } else {
      refuse(exchange, refusal);
    }
  }

  private static String jobOf(String task) {
    return task.substring(0, task.indexOf('.'));
  }

  private static long workOf(String spec) {
    int at = spec.indexOf("work=");
    return at < 0 ? 300 : Long.parseLong(spec.substring(at + 5).trim());
  }

  private boolean fits(String task) {
    Shape shape = SHAPES.get(jobOf(task));
    long cpuUsed = shape.cpu();
    long memoryUsed = shape.memory();
    long gpuUsed = shape.gpu();
    for (Run run : running.values()) {
      Shape other = SHAPES.get(jobOf(run.task));
      cpuUsed += other.cpu();
      memoryUsed += other.memory();
      gpuUsed += other.gpu();
    }
    return cpuUsed <= cpu && memoryUsed <= memory && gpuUsed <= gpu;
  }

  private void work(Run run) {
    run.workingSince = record.now();
    TIMER.schedule(
        () -> {
          synchronized (LOCK) {
            if (running.get(run.task) == run && !run.stopping) {
              if (run.gang == null) {
                end(run, "done");
              } else {
                List.copyOf(run.gang.present).forEach(member -> member.executor().end(member, "done"));
              }
            }
          }
        },
        run.workMillis,
        TimeUnit.MILLISECONDS);
  }

  /** Ends a run, and the others of its gang with it unless it is done. */
  private void end(Run run, String how) {
    if (running.get(run.task) != run) {
      return;
    }
    running.remove(run.task);
    run.past.how = how;
    run.past.endMillis = record.now();
    highestEnded.merge(run.task, run.attempt, Math::max);
    ends++;
    finished.add(new Object[] {ends, run.task, run.attempt, how});
    record.line("run ends: " + run.task + " attempt " + run.attempt + " on " + id + " " + how);
    if (run.gang != null) {
      run.gang.present.remove(run);
      if (!how.equals("done") && run.gang.whole) {
        List.copyOf(run.gang.present).forEach(member -> member.executor().end(member, "broken"));
      }
    }
    LOCK.notifyAll();
  }

  private void runStop(HttpExchange exchange, Map<String, Object> call) throws IOException {
    String task = (String) call.get("task");
    long attempt = number(call, "attempt", 0);
    boolean fenced;
    synchronized (LOCK) {
      fenced = isFenced(call);
      if (!fenced) {
        Run run = running.get(task);
        highestEnded.merge(task, attempt, Math::max);
        if (run != null && run.attempt <= attempt && !run.stopping) {
          run.stopping = true;
          record.line("stop: " + task + " attempt " + attempt + " on " + id);
          TIMER.schedule(
              () -> {
                synchronized (LOCK) {
                  end(run, "stopped");
                }
              },
              STOP_MILLIS,
              TimeUnit.MILLISECONDS);
        }
      }
    }
    if (fenced) {
      refuse(exchange, "fence");
    } else {
      answer(exchange, 200, "{\"clock_ms\":" + clock() + ",\"born\":" + born + "}");
    }
  }

  private void hold(HttpExchange exchange, Map<String, Object> call) throws IOException {
    boolean fenced;
    String lists = "";
    synchronized (LOCK) {
      fenced = isFenced(call);
      if (!fenced) {
        extend(call);
        long seen = number(call, "last_seen", 0);
        finished.removeIf(end -> (long) end[0] <= seen);
        long until = clock() + Math.min(2000, number(call, "wait_ms", 0));
        long endsBefore = ends;
        while (finished.isEmpty() && ends == endsBefore && clock() < until) {
          try {
            LOCK.wait(Math.max(1, until - clock()));
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return;
          }
        }
        lists = lists();
      }
    }
    if (fenced) {
      refuse(exchange, "fence");
    } else {
      answer(exchange, 200, "{\"clock_ms\":" + clock() + ",\"born\":" + born + lists + "}");
    }
  }

  private String lists() {
    StringBuilder out = new StringBuilder(",\"running\":[");
    String comma = "";
    for (Run run : running.values()) {
      long percent =
          run.workingSince < 0
              ? 0
              : Math.min(99, (record.now() - run.workingSince) * 100 / Math.max(1, run.workMillis));
      out.append(comma).append("[\"").append(run.task).append("\",").append(run.attempt)
          .append(",\"\",").append(percent).append(",0]");
      comma = ",";
    }
    out.append("],\"finished\":[");
    comma = "";
    for (Object[] end : finished.subList(0, Math.min(MAX_ENDS, finished.size()))) {
      out.append(comma).append("[").append(end[0]).append(",\"").append(end[1]).append("\",")
          .append(end[2]).append(",\"").append(end[3]).append("\",\"\"]");
      comma = ",";
    }
    return out.append("]").toString();
  }

  private void expire() {
    synchronized (LOCK) {
      if (clock() >= leaseEnd) {
        List.copyOf(running.values()).forEach(run -> end(run, "lapsed"));
      }
    }
  }

  private static void answer(HttpExchange exchange, int status, String body) throws IOException {
    try {
      Thread.sleep(ANSWER_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.sendResponseHeaders(status, bytes.length);
    exchange.getResponseBody().write(bytes);
    exchange.close();
  }
}
