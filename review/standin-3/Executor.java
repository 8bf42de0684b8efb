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
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Stand-in of one executor that behaves as the pages say: it guards its room, heeds generation
 * numbers and leases, and reports to the control address. A task runs for the milliseconds that its
 * {@code spec} names.
 */
final class Executor implements AutoCloseable {

  /** A run that is active. */
  private static final class Run {
    final String task;
    final long attempt;
    final long endMillis;
    final long startMillis;
    boolean stopping;

    Run(String task, long attempt, long startMillis, long endMillis) {
      this.task = task;
      this.attempt = attempt;
      this.startMillis = startMillis;
      this.endMillis = endMillis;
    }
  }

  /** Start of a task that was carried out. */
  record Start(String executor, String zone, String task, long attempt, long atMillis) {}

  private static final long STOP_MILLIS = 150;
  private static final int GPUS = 8;

  final String id;
  final String zone;
  private final String service;
  private final List<String> controls;
  private final List<Start> starts;
  private final Map<String, Long> gpusOfJobs;
  private final Record record;
  private final HttpServer server;
  private final String address;
  private final long bornMillis = System.currentTimeMillis();
  private final long bornNanos = System.nanoTime();
  private final Map<String, Run> runs = new LinkedHashMap<>();
  private final Map<String, Long> highestEnded = new HashMap<>();
  private final List<List<Object>> finished = new ArrayList<>();
  private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2);
  private long ends;
  private long fence;
  private long leaseMillis;
  private long sequence;
  private String heartbeatAddress;
  /** Whether starts are refused as by an unhealthy executor, which has then done nothing. */
  volatile boolean isShedding;

  Executor(
      String id, String host, String zone, String service, List<String> controls,
      List<Start> starts, Map<String, Long> gpusOfJobs, Record record)
      throws IOException {
    this.id = id;
    this.zone = zone;
    this.service = service;
    this.controls = controls;
    this.starts = starts;
    this.gpusOfJobs = gpusOfJobs;
    this.record = record;
    server = HttpServer.create(new InetSocketAddress(host, 0), 64);
    address = host + ":" + server.getAddress().getPort();
    server.setExecutor(Executors.newCachedThreadPool());
    server.createContext("/", this::handle);
    server.start();
    timer.scheduleAtFixedRate(this::tick, 20, 20, TimeUnit.MILLISECONDS);
    timer.scheduleAtFixedRate(this::report, 50, 1_500, TimeUnit.MILLISECONDS);
  }

  @Override
  public void close() {
    timer.shutdownNow();
    server.stop(0);
  }

  private long clock() {
    return 1_000 + (System.nanoTime() - bornNanos) / 1_000_000;
  }

  private void report() {
    try {
      Map<String, Object> body = new LinkedHashMap<>();
      body.put("service", service);
      body.put("address", address);
      body.put("zone", zone);
      body.put("version", "v1");
      body.put("slots", 8);
      body.put("state", "ready");
      body.put("cold_remaining_ms", 0);
      body.put("capacity", Map.of("cpu", 64_000, "task_memory_mb", 262_144, "gpu", GPUS));
      body.put("labels", List.of("a", "r-" + zone));
      body.put("clock_ms", clock());
      body.put("born", bornMillis);
      body.put("sequence", ++sequence);
      String text = Json.write(body);
      List<String> order = new ArrayList<>(controls);
      if (heartbeatAddress != null) {
        order.remove(heartbeatAddress);
        order.add(0, heartbeatAddress);
      }
      for (String control : order) {
        Http.Response response =
            Http.call(control, "PUT", "/api/instances/" + id, Map.of(), text, 1_000);
        if (response.status() / 100 == 2) {
          Object named = Json.object(response.body()).get("heartbeat_address");
          heartbeatAddress = named == null ? heartbeatAddress : named.toString();
          return;
        }
      }
    } catch (RuntimeException e) {
      record.line("EXECUTOR %s cannot report: %s", id, e);
    }
  }

  private void handle(HttpExchange exchange) throws IOException {
    try (exchange) {
      String body =
          new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
      String expected = exchange.getRequestHeaders().getFirst("X-Expect-Instance");
      Map<String, Object> answer = new LinkedHashMap<>();
      int status;
      if (expected != null && !expected.equals(id)) {
        status = 421;
      } else {
        status = answer(exchange.getRequestURI().getPath(), Json.object(body), answer);
      }
      answer.put("clock_ms", clock());
      answer.put("born", bornMillis);
      byte[] bytes = Json.write(answer).getBytes(StandardCharsets.UTF_8);
      exchange.getResponseHeaders().set("Content-Type", "application/json");
      exchange.sendResponseHeaders(status, bytes.length);
      exchange.getResponseBody().write(bytes);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private int answer(String path, Map<String, Object> request, Map<String, Object> answer)
      throws InterruptedException {
    switch (path) {
      case "/api/run-start":
        return start(request, answer);
      case "/api/run-stop":
        return stop(request, answer);
      case "/api/hold":
        return hold(request, answer);
      case "/health":
        return 200;
      default:
        return 404;
    }
  }

  private boolean isFenced(Map<String, Object> request, Map<String, Object> answer) {
    long token = Json.number(request, "fencing_token", 0);
    if (token < fence) {
      answer.put("reason", "fence");
      return true;
    }
    fence = token;
    return false;
  }

  private synchronized int start(Map<String, Object> request, Map<String, Object> answer) {
    String task = request.get("task").toString();
    long attempt = Json.number(request, "attempt", 0);
    if (isShedding) {
      record.line("EXECUTOR %s refuses start of %s attempt %d: 503", id, task, attempt);
      return 503;
    }
    if (isFenced(request, answer)) {
      return 409;
    }
    long deadline = Json.number(request, "deadline_ms", 0);
    if (deadline <= clock()) {
      answer.put("reason", "late");
      return 409;
    }
    leaseMillis = Math.max(leaseMillis, Math.min(deadline, clock() + 10_000));
    Run known = runs.get(task);
    if (known != null && known.attempt == attempt) {
      return 200;
    }
    if (known != null || attempt <= highestEnded.getOrDefault(task, 0L)) {
      answer.put("reason", "old");
      return 409;
    }
    if (gpusInUse() + gpusOf(task) > GPUS) {
      answer.put("reason", "room");
      return 409;
    }
    long millis = Long.parseLong(request.get("spec").toString().replaceAll("[^0-9]", ""));
    runs.put(task, new Run(task, attempt, clock(), clock() + millis));
    starts.add(new Start(id, zone, task, attempt, record.nowMillis()));
    record.line("EXECUTOR %s in %s starts %s attempt %d", id, zone, task, attempt);
    return 200;
  }

  private long gpusInUse() {
    return runs.keySet().stream().mapToLong(this::gpusOf).sum();
  }

  private long gpusOf(String task) {
    return gpusOfJobs.getOrDefault(task.substring(0, task.indexOf('.')), 0L);
  }

  private synchronized int stop(Map<String, Object> request, Map<String, Object> answer) {
    if (isFenced(request, answer)) {
      return 409;
    }
    String task = request.get("task").toString();
    long attempt = Json.number(request, "attempt", 0);
    Run run = runs.get(task);
    if (run != null && run.attempt == attempt && !run.stopping) {
      run.stopping = true;
      timer.schedule(() -> end(run, "stopped"), STOP_MILLIS, TimeUnit.MILLISECONDS);
    } else if (run == null) {
      highestEnded.merge(task, attempt, Math::max);
    }
    return 200;
  }

  private synchronized int hold(Map<String, Object> request, Map<String, Object> answer)
      throws InterruptedException {
    if (isFenced(request, answer)) {
      return 409;
    }
    long deadline = Json.number(request, "deadline_ms", 0);
    if (deadline > 0) {
      leaseMillis = Math.max(leaseMillis, Math.min(deadline, clock() + 10_000));
    }
    long seen = Json.number(request, "last_seen", 0);
    finished.removeIf(row -> (Long) row.get(0) <= seen);
    long until = clock() + Json.number(request, "wait_ms", 0);
    while (finished.isEmpty() && clock() < until) {
      wait(Math.max(1, until - clock()));
    }
    List<Object> running = new ArrayList<>();
    for (Run run : runs.values()) {
      long percent =
          100 * (clock() - run.startMillis) / Math.max(1, run.endMillis - run.startMillis);
      running.add(List.of(run.task, run.attempt, "", Math.min(99, percent), 0));
    }
    answer.put("running", running);
    answer.put("finished", List.copyOf(finished));
    return 200;
  }

  private synchronized void tick() {
    long now = clock();
    for (Run run : List.copyOf(runs.values())) {
      if (now >= leaseMillis) {
        end(run, "lapsed");
      } else if (now >= run.endMillis && !run.stopping) {
        end(run, "done");
      }
    }
  }

  private synchronized void end(Run run, String how) {
    if (runs.get(run.task) != run) {
      return;
    }
    runs.remove(run.task);
    highestEnded.merge(run.task, run.attempt, Math::max);
    finished.add(List.of(++ends, run.task, run.attempt, how, ""));
    record.line("EXECUTOR %s ends %s attempt %d: %s", id, run.task, run.attempt, how);
    notifyAll();
  }
}
