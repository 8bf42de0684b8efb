package lab;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.Collectors;

/** What the cases share: a site with executors, an operator and clients. */
final class Lab implements AutoCloseable {

  static final String HOST = "jobs.example";
  static final String KEY = "key-of-tenant-one";
  static final String PREFIX = "/queue-a/";

  final Record record;
  final Site site;
  final List<Executor> executors = new ArrayList<>();
  private final Random random = new Random();

  Lab(Path folder) throws Exception {
    record = new Record(folder.resolve("record.txt"));
    site = new Site(record);
  }

  static boolean isTrouble() {
    return !"0".equals(System.getenv("TROUBLE"));
  }

  Executor addExecutor(String service, String zone, int cpu, int memory, int gpu)
      throws Exception {
    Executor executor = new Executor(site, executors.size(), service, zone, cpu, memory, gpu);
    executors.add(executor);
    return executor;
  }

  /** Starts everything and hands in the first manifest; false if that can't be done. */
  boolean start(String manifest) throws Exception {
    site.start();
    if (!site.awaitReady(30_000)) {
      record.line("the fronts are not ready in time");
      return false;
    }
    if (!order("PUT", "/api/configuration", manifest, site.cores).is2xx()) {
      return false;
    }
    executors.forEach(Executor::start);
    Thread.sleep(4_000);
    return leader() != null;
  }

  /** A manifest with one queue, its service, and the services that it names. */
  static String manifest(int version, String service, int priority, List<String> services) {
    String named =
        services.stream()
            .map(
                name ->
                    "{\"name\":\"" + name + "\",\"health_path\":\"/health\",\"max_connections\":64,"
                        + "\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,"
                        + "\"cold_per_s\":0.0,\"admission_control\":true,\"standby\":false}")
            .collect(Collectors.joining(","));
    return "{\"version\":" + version + ",\"routes\":[{\"name\":\"r-a\",\"host\":\"" + HOST
        + "\",\"path_prefix\":\"" + PREFIX + "\",\"kind\":\"unsafe\",\"timeout_ms\":3000,"
        + "\"target_latency_ms\":3000,\"priority\":" + priority + ",\"service\":\"" + service
        + "\",\"max_attempts\":3,\"slack_factor\":3.0,\"public\":false}],\"services\":[" + named
        + "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
        + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"one\","
        + "\"api_keys\":[\"" + KEY + "\"],\"priority\":1,\"guaranteed\":{\"gpu\":8}}]}";
  }

  /** Address of the core machine that leads, as the executors were told; null if none knows. */
  String leader() {
    for (Executor executor : executors) {
      String named = executor.beatAddress();
      if (named != null) {
        return named.substring(0, named.lastIndexOf(':'));
      }
    }
    return null;
  }

  /**
   * An order of the operator: tries the given machines in turn, a second each, until one answers
   * other than 5xx, for at most ack_timeout_ms.
   */
  Http.Answer order(String method, String path, String body, List<String> hosts) throws Exception {
    long end = record.now() + 4_000;
    for (int i = 0; record.now() < end; i++) {
      String host = hosts.get(i % hosts.size());
      Http.Answer answer = Http.call(host + ":" + Site.CONTROL, method, path, "", body, 1_000);
      record.line("operator: " + method + " " + path + " to " + site.name(host) + " -> "
          + (answer.status() == 0 ? "no response, connection closed" : answer.status()));
      if (answer.status() != 0 && answer.status() < 500) {
        return answer;
      }
      Thread.sleep(100);
    }
    return Http.NONE;
  }

  String newJob(Executor.Shape shape) {
    String id = String.format("%016x", random.nextLong());
    Executor.expect(id, shape);
    return id;
  }

  static String headers() {
    return "Host: " + HOST + "\r\nAuthorization: Bearer " + KEY + "\r\nX-Deadline-Ms: 3000\r\n";
  }

  /** A job of one step; its tasks work for the given time. */
  static String job(Executor.Shape shape, int count, long workMillis) {
    return "{\"spec\":\"work=" + workMillis + "\",\"steps\":[{\"count\":" + count + ",\"cpu\":"
        + shape.cpu() + ",\"task_memory_mb\":" + shape.memory()
        + (shape.gpu() > 0 ? ",\"gpu\":" + shape.gpu() : "") + ",\"estimated_runtime_ms\":"
        + workMillis + (shape.gang() > 0 ? ",\"gang_scheduled\":true" : "") + "}]}";
  }

  /** One call of a client at one front; the connection is closed after the time budget. */
  Http.Answer client(String front, String method, String id, String body, int timeoutMillis) {
    Http.Answer answer =
        Http.call(front + ":" + Site.FRONT, method, PREFIX + id, headers(), body, timeoutMillis);
    record.line("client: " + method + " " + PREFIX + id + " to " + site.name(front) + " -> "
        + (answer.status() == 0 ? "no response, connection closed" : answer.status())
        + (method.equals("GET") ? " " + answer.body() : ""));
    return answer;
  }

  @Override
  public void close() {
    if (System.getenv("KEEP_LOGS") != null) {
      try {
        site.keepLogs(Path.of(System.getenv("KEEP_LOGS")));
      } catch (java.io.IOException e) {
        record.line("logs can't be kept: " + e);
      }
    }
    site.close();
    record.close();
  }
}
