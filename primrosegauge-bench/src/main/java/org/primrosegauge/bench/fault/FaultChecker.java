package org.primrosegauge.bench.fault;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Judges the history of a fault run. It knows the promises only, and shares no code with the
 * product.
 *
 * <p>Single-threaded; used once.
 *
 * @since 0.1
 */
public final class FaultChecker {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final long OUT_GRACE_MILLIS = 3_000;
  private static final long PARTIAL_MILLIS = 3_000;
  private static final Set<String> FINAL =
      Set.of("SUCCEEDED", "FAILED", "CANCELLED", "OUTCOME_UNKNOWN");

  /** Start and end of one task of one attempt, as the worker saw it. */
  private record TaskRun(String job, int attempt, int index, String domain, long startMillis) {}

  private final List<JsonNode> calls = new ArrayList<>();
  private final List<TaskRun> runs = new ArrayList<>();
  private final Map<String, Long> ends = new HashMap<>();
  private final Set<String> done = new TreeSet<>();
  private final List<String> violations = new ArrayList<>();

  /**
   * Reads the histories of the driver and of the workers.
   *
   * @since 0.1
   */
  public FaultChecker(Path driver, List<Path> workers) throws IOException {
    for (String line : Files.readAllLines(driver)) {
      calls.add(JSON.readTree(line));
    }
    for (Path file : workers) {
      for (String line : Files.exists(file) ? Files.readAllLines(file) : List.<String>of()) {
        addTaskEvent(JSON.readTree(line));
      }
    }
  }

  /**
   * Returns every broken promise, as a line each.
   *
   * @since 0.1
   */
  public List<String> check() {
    checkAnswers();
    checkAtMostOnce();
    checkGangs();
    checkOut();
    checkRevisions();
    return List.copyOf(violations);
  }

  /**
   * Returns what the history holds, in one line.
   *
   * @since 0.1
   */
  public String summary() {
    return String.format(
        "%d calls, %d jobs accepted, %d task starts, %d accepted configurations",
        calls.size(), accepted().size(), runs.size(), contentsByRevision().size());
  }

  // Promises

  /** Each accepted job ends, all answers about it agree, and a success is one. */
  private void checkAnswers() {
    Map<String, Set<String>> answers = new TreeMap<>();
    for (JsonNode call : calls) {
      boolean answered = call.path("status").asInt() / 100 == 2;
      String state = call.path("state").asText();
      if (answered && isKind(call, "SHOW", "SUBMIT") && FINAL.contains(state)) {
        answers.computeIfAbsent(subject(call), job -> new TreeSet<>()).add(state);
      }
    }
    for (Map.Entry<String, Integer> job : accepted().entrySet()) {
      Set<String> seen = answers.getOrDefault(job.getKey(), Set.of());
      if (seen.size() != 1) {
        violations.add("answers: job " + job.getKey() + " has final answers " + seen);
      } else if (seen.contains("SUCCEEDED") && !ranWhole(job.getKey(), job.getValue())) {
        violations.add("answers: job " + job.getKey() + " succeeded, but no attempt ran whole");
      }
    }
  }

  private boolean ranWhole(String job, int tasks) {
    Map<Integer, Set<Integer>> byAttempt = new HashMap<>();
    for (TaskRun run : runs) {
      if (run.job().equals(job) && done.contains(key(run))) {
        byAttempt.computeIfAbsent(run.attempt(), a -> new TreeSet<>()).add(run.index());
      }
    }
    return byAttempt.values().stream().anyMatch(indices -> indices.size() == tasks);
  }

  /** No task starts twice, and a job not to be repeated starts in one attempt only. */
  private void checkAtMostOnce() {
    Map<String, Integer> starts = new TreeMap<>();
    Map<String, Set<Integer>> attempts = new TreeMap<>();
    for (TaskRun run : runs) {
      starts.merge(key(run), 1, Integer::sum);
      attempts.computeIfAbsent(run.job(), job -> new TreeSet<>()).add(run.attempt());
    }
    starts.forEach(
        (task, count) -> {
          if (count > 1) {
            violations.add("once: task " + task + " started " + count + " times");
          }
        });
    for (JsonNode call : calls) {
      boolean single = isKind(call, "SUBMIT") && call.path("content").asText().endsWith(" false");
      Set<Integer> seen = attempts.getOrDefault(subject(call), Set.of());
      if (single && seen.size() > 1) {
        violations.add("once: job " + subject(call) + " not to be repeated: attempts " + seen);
        attempts.remove(subject(call));
      }
    }
  }

  /** A gang that did not start whole does not run on in part. */
  private void checkGangs() {
    Map<String, List<TaskRun>> gangs = new TreeMap<>();
    for (TaskRun run : runs) {
      gangs.computeIfAbsent(run.job() + "/" + run.attempt(), g -> new ArrayList<>()).add(run);
    }
    Map<String, Integer> sizes = sizes();
    gangs.forEach(
        (gang, members) -> {
          long started = members.stream().map(TaskRun::index).distinct().count();
          if (started < sizes.getOrDefault(members.get(0).job(), 0)) {
            members.stream().filter(this::ranLong).forEach(run -> violations.add(partial(run)));
          }
        });
  }

  private boolean ranLong(TaskRun run) {
    long end = ends.getOrDefault(key(run), Long.MAX_VALUE);
    return done.contains(key(run)) || end - run.startMillis() > PARTIAL_MILLIS;
  }

  private static String partial(TaskRun run) {
    return "gang: task " + key(run) + " ran in a gang that never started whole";
  }

  /** Nothing starts in a domain later than 3 s after "out" was answered as in force. */
  private void checkOut() {
    for (JsonNode call : calls) {
      if (isKind(call, "OUT") && call.path("state").asText().equals("in-force")) {
        long from = call.path("wallMillis").asLong() + OUT_GRACE_MILLIS;
        long until = nextIn(subject(call), call.path("sentMillis").asLong());
        for (TaskRun run : runs) {
          if (run.domain().equals(subject(call))
              && run.startMillis() > from
              && run.startMillis() < until) {
            violations.add("out: task " + key(run) + " started in domain " + run.domain());
          }
        }
      }
    }
  }

  private long nextIn(String domain, long after) {
    return calls.stream()
        .filter(call -> isKind(call, "IN") && subject(call).equals(domain))
        .mapToLong(call -> call.path("sentMillis").asLong())
        .filter(sent -> sent > after)
        .min()
        .orElse(Long.MAX_VALUE);
  }

  /** One content for each revision, and no instance goes back unless it was restarted. */
  private void checkRevisions() {
    contentsByRevision()
        .forEach(
            (revision, contents) -> {
              if (contents.size() > 1) {
                violations.add("revision: " + revision + " was accepted with " + contents);
              }
            });
    Map<String, Long> highest = new HashMap<>();
    long most = 0;
    for (JsonNode call : calls) {
      long revision = call.path("revision").asLong();
      if (isKind(call, "FAULT") && isRestart(call)) {
        highest.remove(subject(call));
      } else if (isKind(call, "STATUS") && call.path("status").asInt() == 200) {
        checkStatus(subject(call), revision, highest);
      } else if (isKind(call, "CONFIGURE") && call.path("status").asInt() == 200) {
        most = Math.max(most, revision);
      }
    }
    for (Map.Entry<String, Long> last : highest.entrySet()) {
      if (last.getValue() < most) {
        violations.add("revision: " + last + " at the end, but " + most + " was accepted");
      }
    }
  }

  private void checkStatus(String instance, long revision, Map<String, Long> highest) {
    long before = highest.getOrDefault(instance, 0L);
    if (revision < before) {
      violations.add("revision: " + instance + " went back from " + before + " to " + revision);
    }
    highest.put(instance, revision);
  }

  private static boolean isRestart(JsonNode call) {
    return Set.of("KILL", "WIPE", "TERM", "START").contains(call.path("content").asText());
  }

  // Reading

  private void addTaskEvent(JsonNode line) {
    JsonNode event = line.path("event");
    JsonNode task = event.path("task");
    String worker = event.path("worker").asText();
    TaskRun run =
        new TaskRun(
            task.path("job").asText(),
            task.path("attempt").asInt(),
            task.path("index").asInt(),
            worker.substring(0, worker.indexOf('-')),
            line.path("wallMillis").asLong());
    if (event.path("event").asText().equals("start")) {
      runs.add(run);
      return;
    }
    ends.put(key(run), run.startMillis());
    if (event.path("event").asText().equals("done")) {
      done.add(key(run));
    }
  }

  private Map<String, Integer> accepted() {
    Map<String, Integer> accepted = new TreeMap<>();
    for (JsonNode call : calls) {
      if (isKind(call, "SUBMIT") && call.path("status").asInt() == 202) {
        accepted.put(subject(call), tasks(call));
      }
    }
    return accepted;
  }

  private Map<String, Integer> sizes() {
    Map<String, Integer> sizes = new HashMap<>();
    calls.stream()
        .filter(call -> isKind(call, "SUBMIT"))
        .forEach(call -> sizes.put(subject(call), tasks(call)));
    return sizes;
  }

  private Map<Long, Set<String>> contentsByRevision() {
    Map<Long, Set<String>> contents = new TreeMap<>();
    for (JsonNode call : calls) {
      if (isKind(call, "CONFIGURE") && call.path("status").asInt() == 200) {
        contents
            .computeIfAbsent(call.path("revision").asLong(), r -> new TreeSet<>())
            .add(call.path("content").asText());
      }
    }
    return contents;
  }

  private static int tasks(JsonNode call) {
    return Integer.parseInt(call.path("content").asText().split(" ")[0]);
  }

  private static boolean isKind(JsonNode call, String... kinds) {
    return List.of(kinds).contains(call.path("kind").asText());
  }

  private static String subject(JsonNode call) {
    return call.path("subject").asText();
  }

  private static String key(TaskRun run) {
    return run.job() + "/" + run.attempt() + "/" + run.index();
  }
}
