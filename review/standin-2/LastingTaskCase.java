package lab;

import java.nio.file.Path;
import java.util.List;

/** A task of a step with long_running ends done; it has to be started again. */
final class LastingTaskCase {

  public static void main(String[] args) throws Exception {
    Case.main("LOST", Path.of(args[0]), LastingTaskCase::run);
  }

  private static int run(Lab lab) throws Exception {
    for (int i = 0; i < 6; i++) {
      lab.addExecutor("svc", Site.ZONES.get(i % 3), 8_000, 32_768, 0);
    }
    if (!lab.start(Lab.manifest(1, "svc", 1, List.of("svc")))) {
      return Case.NOT_RUN;
    }
    Executor.Shape shape = new Executor.Shape(1_000, 512, 0, 0);
    String id = lab.newJob(shape);
    String body =
        "{\"spec\":\"work=600000\",\"steps\":[{\"count\":3,\"cpu\":1000,\"task_memory_mb\":512,"
            + "\"long_running\":true}]}";
    if (!lab.client(lab.site.fronts.get(0), "POST", id, body, 3_000).is2xx()) {
      return Case.NOT_RUN;
    }
    Thread.sleep(3_000);
    if (Executor.HISTORY.stream().filter(run -> run.isOf(id)).count() != 3) {
      return Case.NOT_RUN;
    }
    if (Lab.isTrouble()) {
      // Task 0 fails, as a comparison; task 1 ends done.
      endRun(id + ".0.0.0", "failed");
      endRun(id + ".0.0.1", "done");
    }
    int result = Case.HELD;
    for (int i = 0; i < 20; i++) {
      Thread.sleep(1_000);
      if (i % 5 == 0) {
        lab.client(lab.site.fronts.get(1), "GET", id, "", 3_000);
      }
    }
    long now = lab.record.now();
    for (int task = 0; task < 3; task++) {
      String name = id + ".0.0." + task;
      long idleSince = -1;
      boolean isAtWork = false;
      for (Executor.Past run : Executor.HISTORY) {
        if (run.task.equals(name)) {
          isAtWork |= run.endMillis == Long.MAX_VALUE;
          idleSince = Math.max(idleSince, Math.min(now, run.endMillis));
        }
      }
      long idle = isAtWork ? 0 : now - idleSince;
      lab.record.line("task " + task + ": " + (isAtWork ? "at work" : "nothing for " + idle + " ms"));
      if (idle >= 9_000) {
        result = Case.BROKEN;
      }
    }
    return result;
  }

  private static void endRun(String task, String how) {
    Executor.HISTORY.stream()
        .filter(run -> run.task.equals(task))
        .forEach(run -> run.executor.endRun(task, how));
  }
}
