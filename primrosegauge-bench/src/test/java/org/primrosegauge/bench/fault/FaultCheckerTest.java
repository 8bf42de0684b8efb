package org.primrosegauge.bench.fault;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The checker finds each broken promise in a history that breaks it, and none in a good one. */
class FaultCheckerTest {

  private static final String GOOD =
      call(0, "SUBMIT", "klang.a", 202, "QUEUED", -1, "2 false")
          + call(9000, "SHOW", "klang.a", 200, "SUCCEEDED", -1, "")
          + call(10, "CONFIGURE", "first", 200, "in-force", 1, "x")
          + call(20, "STATUS", "klang-1", 200, "", 1, "")
          + call(5000, "OUT", "klang", 200, "in-force", 1, "");
  private static final String GOOD_TASKS =
      task(100, 1, 0, "start")
          + task(110, 1, 1, "start")
          + task(900, 1, 0, "done")
          + task(910, 1, 1, "done");

  @TempDir Path folder;

  @Test
  void goodHistoryIsClean() throws IOException {
    assertThat(check(GOOD, GOOD_TASKS)).isEmpty();
  }

  @ParameterizedTest
  @CsvSource({
    "other answer, answers",
    "no answer, answers",
    "success without a run, answers",
    "second start, once",
    "second attempt, once",
    "part of a gang, gang",
    "start while out, out",
    "revision with two contents, revision",
    "revision that goes back, revision",
    "accepted revision lost, revision"
  })
  void brokenPromiseIsFound(String broken, String promise) throws IOException {
    List<String> violations = check(GOOD + calls(broken), tasks(broken));
    assertThat(violations).isNotEmpty();
    assertThat(violations.get(0)).startsWith(promise + ":");
  }

  private static String calls(String broken) {
    return switch (broken) {
      case "other answer" -> call(9100, "SHOW", "klang.a", 200, "FAILED", -1, "");
      case "no answer" -> call(0, "SUBMIT", "klang.b", 202, "QUEUED", -1, "1 true");
      case "part of a gang" ->
          call(0, "SUBMIT", "klang.b", 202, "QUEUED", -1, "2 true")
              + call(9000, "SHOW", "klang.b", 200, "FAILED", -1, "");
      case "start while out" ->
          call(0, "SUBMIT", "klang.b", 202, "QUEUED", -1, "1 true")
              + call(9000, "SHOW", "klang.b", 200, "SUCCEEDED", -1, "");
      case "revision with two contents" -> call(30, "CONFIGURE", "race", 200, "", 1, "y");
      case "revision that goes back" -> call(30, "STATUS", "klang-1", 200, "", 0, "");
      case "accepted revision lost" -> call(30, "CONFIGURE", "race", 200, "", 2, "y");
      default -> "";
    };
  }

  private static String tasks(String broken) {
    return switch (broken) {
      case "success without a run" -> task(100, 1, 0, "start") + task(900, 1, 0, "done");
      case "second start" -> GOOD_TASKS + task(950, 1, 0, "start");
      case "second attempt" -> GOOD_TASKS + task(950, 2, 0, "start") + task(960, 2, 0, "stopped");
      case "part of a gang" -> GOOD_TASKS + other(950, "start") + other(4000, "stopped");
      case "start while out" -> GOOD_TASKS + other(8002, "start") + other(8100, "done");
      default -> GOOD_TASKS;
    };
  }

  private List<String> check(String calls, String tasks) throws IOException {
    Path driver = Files.writeString(folder.resolve("driver"), calls);
    Path workers = Files.writeString(folder.resolve("workers"), tasks);
    return new FaultChecker(driver, List.of(workers)).check();
  }

  private static String call(
      long at, String kind, String subject, int status, String state, long revision, String text) {
    return String.format(
        "{\"sentMillis\":%d,\"wallMillis\":%d,\"kind\":\"%s\",\"subject\":\"%s\",\"status\":%d,"
            + "\"state\":\"%s\",\"revision\":%d,\"content\":\"%s\"}%n",
        at, at + 1, kind, subject, status, state, revision, text);
  }

  private static String task(long at, int attempt, int index, String event) {
    return line(at, "klang.a", attempt, index, event);
  }

  private static String other(long at, String event) {
    return line(at, "klang.b", 1, 0, event);
  }

  private static String line(long at, String job, int attempt, int index, String event) {
    return String.format(
        "{\"wallMillis\":%d,\"event\":{\"worker\":\"klang-worker-0\",\"task\":{\"job\":\"%s\","
            + "\"attempt\":%d,\"index\":%d},\"event\":\"%s\",\"term\":1}}%n",
        at, job, attempt, index, event);
  }
}
