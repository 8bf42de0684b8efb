import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** Base of the cases: a site, its executors, its operator and its requesters. */
abstract class Case {

  static final int HELD = 0;
  static final int BROKEN = 1;
  static final int NOT_RUN = 2;
  static final String HOST = "rounds.example";
  static final String SERVICE = "kutipan-core";

  final boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
  final List<Executor> executors = new ArrayList<>();
  final List<Executor.Start> starts = new CopyOnWriteArrayList<>();
  final Map<String, Long> gpusOfJobs = new ConcurrentHashMap<>();
  final Random random = new Random();
  Record record;
  Site site;
  private String tree;

  /** Runs the case; returns {@link #HELD}, {@link #BROKEN} or {@link #NOT_RUN}. */
  abstract int run() throws Exception;

  static void main(Case each, String[] args) {
    int result = NOT_RUN;
    try (Record record = new Record(Path.of(args[1]))) {
      each.record = record;
      each.tree = args[0];
      record.line("TROUBLE=%s", each.hasTrouble ? "1" : "0");
      try {
        result = each.run();
      } catch (Exception e) {
        record.line("the case could not run: %s", e);
        e.printStackTrace();
      } finally {
        each.executors.forEach(Executor::close);
        if (each.site != null) {
          each.site.close();
        }
      }
      String text = List.of("the rule held", "THE RULE WAS BROKEN", "could not run").get(result);
      record.line("RESULT %d: %s", result, text);
      System.out.println(text);
    } catch (Exception e) {
      e.printStackTrace();
    }
    Runtime.getRuntime().halt(result);
  }

  /** Returns the root of the repository. */
  String tree() {
    return tree;
  }

  /** Adds an executor that first reports to one of the given control addresses. */
  Executor addExecutor(int number, String zone, List<String> controls) throws Exception {
    List<String> order = new ArrayList<>(controls);
    java.util.Collections.shuffle(order, random);
    Executor executor =
        new Executor(
            "i-" + zone + "-" + number, site.block + "61", zone, SERVICE, order, starts,
            gpusOfJobs, record);
    executors.add(executor);
    return executor;
  }

  /** Returns a manifest with the given queues and tenants. */
  String manifest(long version, Map<String, Integer> priorityByPrefix, List<String> tenants) {
    List<String> routes = new ArrayList<>();
    priorityByPrefix.forEach(
        (prefix, priority) ->
            routes.add(
                "{\"name\":\"q-" + prefix.replace("/", "") + "\",\"host\":\"" + HOST
                    + "\",\"path_prefix\":\"" + prefix
                    + "\",\"kind\":\"unsafe\",\"timeout_ms\":3000,\"target_latency_ms\":3000,"
                    + "\"priority\":" + priority + ",\"service\":\"" + SERVICE
                    + "\",\"max_attempts\":3,\"slack_factor\":3.0,\"public\":false}"));
    return "{\"version\":" + version + ",\"routes\":[" + String.join(",", routes)
        + "],\"services\":[{\"name\":\"" + SERVICE
        + "\",\"health_path\":\"/health\",\"max_connections\":64,\"protocol\":\"h1\",\"tls\":false,"
        + "\"cold_start_s\":0.0,\"cold_per_s\":0.0,\"admission_control\":true,\"standby\":false}],"
        + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
        + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":["
        + String.join(",", tenants) + "]}";
  }

  /** Returns a tenant of a manifest. */
  static String tenant(String name, List<String> keys, int guaranteedGpus) {
    return "{\"name\":\"" + name + "\",\"api_keys\":" + Json.write(keys)
        + ",\"priority\":1,\"guaranteed\":{\"gpu\":" + guaranteedGpus + "}}";
  }

  /** Sends an order of the operator to the given addresses in turn until one acknowledges it. */
  boolean order(String method, String path, String body, int tries, String... addresses)
      throws InterruptedException {
    for (int i = 0; i < tries; i++) {
      String address = addresses[i % addresses.length];
      record.line("OPERATOR sends %s %s to %s", method, path, address);
      Http.Response response = Http.call(address, method, path, Map.of(), body, 1_000);
      record.line("OPERATOR gets %d from %s", response.status(), address);
      if (response.status() / 100 == 2) {
        return true;
      }
      Thread.sleep(100);
    }
    return false;
  }

  /** Returns a new job id. */
  String newJob(long gpus) {
    String id = String.format(Locale.ROOT, "%016x", random.nextLong());
    gpusOfJobs.put(id, gpus);
    return id;
  }

  /** Sends a call of a requester with a time budget of three seconds. */
  Http.Response call(String front, String method, String path, String key, String body) {
    Map<String, String> headers =
        Map.of("Host", HOST, "Authorization", "Bearer " + key, "X-Deadline-Ms", "3000");
    return Http.call(front, method, path, headers, body, 3_000);
  }

  /** Returns a job of one step. */
  static String job(long millis, int count, long gpus) {
    return job(millis, count, gpus, "");
  }

  /** Returns a job of one step with further fields of the step. */
  static String job(long millis, int count, long gpus, String fields) {
    return "{\"spec\":\"run " + millis + "\",\"steps\":[{\"count\":" + count
        + ",\"cpu\":2000,\"task_memory_mb\":1024,\"gpu\":" + gpus + ",\"estimated_runtime_ms\":"
        + millis + fields + "}]}";
  }

  /** Waits until a request is accepted, which shows that the site works. */
  void awaitService(String prefix, String key) throws InterruptedException {
    for (int i = 0; i < 100; i++) {
      Http.Response response =
          call(site.front(0), "POST", prefix + newJob(0), key, job(10, 1, 0));
      if (response.status() == 200) {
        return;
      }
      Thread.sleep(200);
    }
    throw new IllegalStateException("the site does not accept jobs");
  }
}
