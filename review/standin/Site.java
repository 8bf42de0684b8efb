import java.io.BufferedWriter;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * A small deployment on loopback addresses: the processes of the deploy file, an operator,
 * requesters, executors, and the record of what was sent, answered and run.
 */
final class Site implements AutoCloseable {

  static final String SERVICE = "bulletin";
  static final String HOST = "jobs.example";
  static final String KEY = "d4a3hwrr6x73d3zji9n7";
  static final long BEAT_MILLIS = 1_500;
  static final long MAX_HOLD_MILLIS = 6_000;
  static final long STOP_MILLIS = 900;
  private static final long LIMIT_MILLIS = 117_000;
  private static final long RESTART_MILLIS = 500;
  static final List<String> ZONES = List.of("lakes-west", "lakes-central", "lakes-east");

  /** What a task asks for. */
  record Need(long cpu, long memory, long gpu) {}

  /** A process of the system. */
  static final class Node {
    final String ip;
    final String role;
    final String zone;
    Process process;

    Node(String ip, String role, String zone) {
      this.ip = ip;
      this.role = role;
      this.zone = zone;
    }
  }

  final List<Node> cores = new ArrayList<>();
  final List<Node> entries = new ArrayList<>();
  final List<Executor.Run> runs = new CopyOnWriteArrayList<>();
  final int controlPort;
  private final int frontPort;
  private final int readyPort;
  private final int internalPort;
  private final long zero = System.nanoTime();
  private final Path folder;
  private final BufferedWriter record;
  private final Map<String, String> commands = new LinkedHashMap<>();
  private final Map<String, Need> needs = new ConcurrentHashMap<>();
  private volatile boolean broken;

  Site(Path caseFolder, int coreCount, int entryCount) throws IOException {
    record = Files.newBufferedWriter(caseFolder.resolve("record.txt"));
    folder = Files.createTempDirectory("primrosegauge-review");
    Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
    thread("limit", () -> {
      sleep(LIMIT_MILLIS);
      exit(2, "the case takes too long");
    });
    readCommands();
    // An address block of its own, so that several sites can run at once.
    String block = "127." + (64 + ProcessHandle.current().pid() % 128) + "."
        + ProcessHandle.current().pid() / 128 % 250 + ".";
    controlPort = freePort(block + "1");
    frontPort = freePort(block + "1");
    readyPort = freePort(block + "1");
    internalPort = freeRange(block + "1");
    for (int i = 0; i < coreCount; i++) {
      cores.add(new Node(block + (11 + i), "ledger", ZONES.get(i % ZONES.size())));
    }
    for (int i = 0; i < entryCount; i++) {
      entries.add(new Node(block + (31 + i), "entry", ZONES.get(i % ZONES.size())));
    }
    executorBlock = block;
  }

  private final String executorBlock;

  /** An address for an executor. */
  String executorHost(int number) {
    return executorBlock + (100 + number);
  }

  // Processes of the system

  private void readCommands() throws IOException {
    String deploy = Files.readString(Path.of("deploy", "system.toml"));
    Matcher matcher =
        Pattern.compile("\\[roles\\.([a-z]+)\\]\\s+run = \"([^\"]+)\"").matcher(deploy);
    while (matcher.find()) {
      commands.put(matcher.group(1), matcher.group(2));
    }
    if (!commands.keySet().containsAll(List.of("entry", "ledger"))) {
      throw new IOException("the deploy file does not have the roles entry and ledger");
    }
  }

  void startAll() throws IOException {
    for (Node node : cores) {
      start(node, true);
    }
    for (Node node : entries) {
      start(node, true);
    }
  }

  void start(Node node, boolean bootstrap) throws IOException {
    boolean isCore = node.role.equals("ledger");
    Map<String, Object> bounds = new LinkedHashMap<>();
    bounds.put("contact_timeout_ms", 3_000);
    bounds.put("ack_timeout_ms", 4_000);
    bounds.put("catch_up_s", 4);
    bounds.put("drain_timeout_ms", 2_000);
    bounds.put("grace_period_s", 6);
    bounds.put("config_apply_ms", 2_000);
    bounds.put("max_extension_ms", 5_000);
    bounds.put("evacuation_timeout_ms", 5_000);
    bounds.put("recovery_time_s", 12);
    bounds.put("max_hold_ms", MAX_HOLD_MILLIS);
    bounds.put("stop_timeout_ms", STOP_MILLIS);
    bounds.put("gang_timeout_ms", 3_000);
    bounds.put("cancel_ms", 3_000);
    bounds.put("visible_ms", 3_000);
    bounds.put("early_ms", 250);
    bounds.put("finish_s", 14);
    bounds.put("status_s", 120);
    bounds.put("checkpoint_interval_s", 1);
    bounds.put("restore_timeout_ms", 600);
    bounds.put("lease_duration_ms", 3_000);
    Map<String, Object> listen = new LinkedHashMap<>();
    if (isCore) {
      listen.put("control_plane", node.ip + ":" + controlPort);
    } else {
      listen.put("frontend", node.ip + ":" + frontPort);
      listen.put("ready", node.ip + ":" + readyPort);
    }
    Path data = folder.resolve("data-" + node.ip);
    Map<String, Object> settings = new LinkedHashMap<>();
    settings.put("node_name", node.role + "-" + node.zone + "-" + node.ip);
    settings.put("role", node.role);
    settings.put("machine_class", isCore ? "core" : "frontend");
    settings.put("serves", List.of(isCore ? "control_plane" : "frontend"));
    settings.put("ip", node.ip);
    settings.put("zone", node.zone);
    settings.put("region", "great-lakes");
    settings.put("listen_addresses", listen);
    settings.put("internal_port_range", List.of(internalPort, internalPort + 15));
    settings.put(
        "seeds",
        cores.stream().limit(3).<Object>map(core -> core.ip + ":" + controlPort).toList());
    settings.put("bootstrap", bootstrap);
    settings.put("fault_counted", isCore);
    if (isCore) {
      Files.createDirectories(data);
      settings.put("data_dir", data.toString());
    } else {
      settings.put("data_dir", null);
    }
    settings.put("discovery", "registration");
    settings.put("entry", "virtual_ip");
    settings.put("heartbeat_interval_ms", BEAT_MILLIS);
    settings.put("fault_tolerance", Map.of("machines", 1, "zones", 1, "regions", 0));
    settings.put("bounds", bounds);
    settings.put("config_mode", "highest");
    settings.put("command_mode", "invocation");
    Path file = folder.resolve("settings-" + node.ip + ".json");
    Files.writeString(file, Json.write(settings));
    ProcessBuilder builder = new ProcessBuilder(commands.get(node.role).split(" "));
    builder.environment().put("PRIMROSEGAUGE_BOOT", file.toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(
        ProcessBuilder.Redirect.appendTo(folder.resolve("log-" + node.ip + ".txt").toFile()));
    node.process = builder.start();
    record("process " + node.role + " " + node.ip + " started");
  }

  /** Restarts processes that end by themselves, as the platform does, and records their ends. */
  void restartOwnEnds() {
    thread("restart", () -> {
      while (!closing) {
        for (Node node : cores) {
          if (!node.process.isAlive() && !closing) {
            ownEnds++;
            record("process " + node.role + " " + node.ip + " ended by itself, status "
                + node.process.exitValue());
            sleep(RESTART_MILLIS);
            try {
              start(node, false);
            } catch (IOException e) {
              throw new IllegalStateException(e);
            }
          }
        }
        sleep(50);
      }
    });
  }

  volatile int ownEnds;
  private volatile boolean closing;

  /** Sends a signal, such as KILL, STOP or CONT, to a process of the system. */
  void signal(Node node, String name) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + name, Long.toString(node.process.pid())).start().waitFor();
    record("signal " + name + " to " + node.role + " " + node.ip);
  }

  String log(Node node) throws IOException {
    return Files.readString(folder.resolve("log-" + node.ip + ".txt"));
  }

  /** The ledger process that says that it schedules; null if none does. */
  Node leader() throws IOException {
    Node found = null;
    long best = -1;
    for (Node core : cores) {
      for (String line : log(core).split("\n")) {
        Matcher matcher = LEADER.matcher(line);
        if (matcher.find() && Long.parseLong(matcher.group(2)) >= best) {
          best = Long.parseLong(matcher.group(2));
          String ip = matcher.group(1);
          found = cores.stream().filter(node -> node.ip.equals(ip)).findFirst().orElse(null);
        }
      }
    }
    return found;
  }

  private static final Pattern LEADER =
      Pattern.compile("leader of the replicated log is now ([0-9.]+) in term ([0-9]+)");

  private void killAll() {
    closing = true;
    Stream.concat(cores.stream(), entries.stream())
        .filter(node -> node.process != null)
        .forEach(node -> node.process.destroyForcibly());
    try {
      for (Node node : Stream.concat(cores.stream(), entries.stream()).toList()) {
        if (node.process != null) {
          node.process.waitFor();
        }
      }
      if (System.getenv("KEEP") == null) {
        try (Stream<Path> files = Files.walk(folder)) {
          files.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
        }
      } else {
        System.err.println("kept " + folder);
      }
    } catch (IOException | InterruptedException e) {
      System.err.println("temporary folder not removed: " + e);
    }
  }

  // The operator

  /** One call of the operator; -1 without a response within a second. */
  int operator(Node node, String method, String path, String body) {
    try {
      Http.Message answer =
          Http.call(node.ip, controlPort, method, path, Map.of(), body, 1_000);
      record("operator " + method + " " + path + " at " + node.ip + " -> " + answer.status());
      lastBody = answer.body();
      return answer.status();
    } catch (IOException e) {
      record("operator " + method + " " + path + " at " + node.ip + " -> no response");
      return -1;
    }
  }

  volatile String lastBody = "";

  /** An order that is sent until it is acknowledged, to the given nodes in turn. */
  boolean order(String method, String path, String body, List<Node> nodes, long limitMillis) {
    long end = now() + limitMillis;
    long pause = 100;
    int next = 0;
    while (now() < end) {
      int status = operator(nodes.get(next++ % nodes.size()), method, path, body);
      if (status / 100 == 2) {
        return true;
      }
      if (status == 400 || status == 409 || status == 412 || status == 413 || status == 422) {
        return false;
      }
      sleep(pause);
      pause = Math.min(800, 2 * pause);
    }
    return false;
  }

  static String manifest(long version, String extraRoutes) {
    return "{\"version\":" + version + ",\"routes\":["
        + route("r-batch", "/batch/", 1) + "," + route("r-urgent", "/urgent/", 0) + extraRoutes
        + "],\"services\":[{\"name\":\"" + SERVICE + "\",\"health_path\":\"/health\","
        + "\"max_connections\":64,\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,"
        + "\"cold_per_s\":0.0,\"admission_control\":true,\"standby\":false}],"
        + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
        + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
        + "\"tenants\":[{\"name\":\"kaje80\",\"api_keys\":[\"" + KEY + "\"],\"priority\":1,"
        + "\"guaranteed\":{\"gpu\":8}}]}";
  }

  static String route(String name, String prefix, int priority) {
    return "{\"name\":\"" + name + "\",\"host\":\"" + HOST + "\",\"path_prefix\":\"" + prefix
        + "\",\"kind\":\"unsafe\",\"timeout_ms\":3000,\"target_latency_ms\":3000,\"priority\":"
        + priority + ",\"service\":\"" + SERVICE + "\",\"max_attempts\":3,\"slack_factor\":3.0,"
        + "\"public\":false}";
  }

  /** Sends the first manifest until it is accepted. */
  boolean configure() {
    return order("PUT", "/api/configuration", manifest(1, ""), cores, 30_000);
  }

  // Requesters

  /** One call of a requester; status -1 without a response. */
  Http.Message request(int entry, String method, String path, String body) {
    Node node = entries.get(entry % entries.size());
    try {
      Http.Message answer =
          Http.call(
              node.ip, frontPort, method, path,
              Map.of("Host", HOST, "Authorization", "Bearer " + KEY, "X-Deadline-Ms", "3000"),
              body, 3_000);
      record("request " + method + " " + path + " at " + node.ip + " -> " + answer.status()
          + (method.equals("GET") ? " " + answer.body() : ""));
      return answer;
    } catch (IOException e) {
      record("request " + method + " " + path + " at " + node.ip + " -> no response");
      return Http.response(-1, "");
    }
  }

  /** Hands in a job, with up to four retries; returns whether it was accepted. */
  boolean submit(String path, String body) {
    for (int i = 0; i < 5; i++) {
      int status = request(i, "POST", path, body).status();
      if (status / 100 == 2) {
        return true;
      }
      sleep(status == 429 || status == 503 ? 1_000 : 200);
    }
    return false;
  }

  /** State of a job as shown; empty if it was not shown. */
  String state(String path) {
    Http.Message answer = request((int) (now() % 7), "GET", path, "");
    return answer.status() == 200 ? Json.string(Json.object(answer.body()), "state") : "";
  }

  String awaitState(String path, long limitMillis, String... wanted) {
    long end = now() + limitMillis;
    String state = "";
    while (now() < end) {
      state = state(path);
      if (List.of(wanted).contains(state)) {
        return state;
      }
      sleep(250);
    }
    return state;
  }

  /** Tells executors what the tasks of a step ask for. */
  void need(String jobStep, Need need) {
    needs.put(jobStep, need);
  }

  Need needOf(String task) {
    String[] parts = task.split("\\.");
    return needs.getOrDefault(parts[0] + "." + parts[2], new Need(0, 0, 0));
  }

  void started(Executor.Run run) {
    runs.add(run);
    record("start  " + run.task + " attempt " + run.attempt + " on " + run.life.kind.id()
        + " born " + run.life.born + " token " + run.token);
  }

  // Record and result

  /** Milliseconds since the start of the script. */
  long now() {
    return (System.nanoTime() - zero) / 1_000_000;
  }

  synchronized void record(String text) {
    try {
      record.write(String.format("%7d %s%n", now(), text));
      record.flush();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  void breaks(String text) {
    broken = true;
    record("BROKEN " + text);
  }

  boolean isBroken() {
    return broken;
  }

  /** The rule TWICE, without its parts that hold for machines in touch only. */
  int checkTwice() {
    Map<String, List<Executor.Run>> byTask = new LinkedHashMap<>();
    runs.forEach(run -> byTask.computeIfAbsent(run.task, task -> new ArrayList<>()).add(run));
    int found = 0;
    for (List<Executor.Run> ofTask : byTask.values()) {
      for (Executor.Run first : ofTask) {
        for (Executor.Run second : ofTask) {
          if (first == second || second.startMillis < first.startMillis) {
            continue;
          }
          boolean together = second.startMillis < first.endMillis;
          boolean afterDone =
              first.how.equals("done")
                  && second.startMillis >= first.endMillis
                  && first.notedMillis != Long.MAX_VALUE;
          if (together || afterDone) {
            found++;
            breaks("TWICE " + (together ? "at the same time" : "after it was done") + ": " + first
                + " and " + second);
          }
        }
      }
    }
    return found;
  }

  @Override
  public void close() throws IOException {
    record.close();
  }

  // Helpers

  static void sleep(long millis) {
    try {
      Thread.sleep(Math.max(0, millis));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  static void thread(String name, Runnable task) {
    Thread thread = new Thread(task, name);
    thread.setDaemon(true);
    thread.start();
  }

  static void closeQuietly(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      // It is of no more use.
    }
  }

  private static int freePort(String host) throws IOException {
    try (ServerSocket socket = new ServerSocket()) {
      socket.bind(new InetSocketAddress(InetAddress.getByName(host), 0));
      return socket.getLocalPort();
    }
  }

  /** The first of 16 ports of which the two that a process listens on are free. */
  private static int freeRange(String host) throws IOException {
    for (int first = 21_000; first < 30_000; first += 16) {
      try (ServerSocket peers = new ServerSocket();
          ServerSocket metrics = new ServerSocket()) {
        peers.bind(new InetSocketAddress(InetAddress.getByName(host), first));
        metrics.bind(new InetSocketAddress(InetAddress.getByName(host), first + 1));
        return first;
      } catch (java.net.BindException e) {
        // Taken; the next range may be free.
      }
    }
    throw new IOException("no free ports");
  }

  static boolean hasTrouble() {
    return !"0".equals(System.getenv("TROUBLE"));
  }

  /** Ends the script: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
  static void exit(int status, String text) {
    System.out.println(text);
    System.exit(status);
  }
}
