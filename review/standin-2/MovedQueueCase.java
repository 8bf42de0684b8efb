package lab;

import java.nio.file.Path;
import java.util.List;

/**
 * The operator sends a queue to another service and takes the former service's executors away one
 * after the other. A job that was accepted before has to go on in the service that is left.
 */
final class MovedQueueCase {

  private static final long WORK_MILLIS = 15_000;

  public static void main(String[] args) throws Exception {
    Case.main("LOST", Path.of(args[0]), MovedQueueCase::run);
  }

  private static int run(Lab lab) throws Exception {
    for (int i = 0; i < 3; i++) {
      lab.addExecutor("svc-old", Site.ZONES.get(i), 8_000, 32_768, 0);
    }
    for (int i = 0; i < 3; i++) {
      lab.addExecutor("svc-new", Site.ZONES.get(i), 8_000, 32_768, 0);
    }
    if (!lab.start(Lab.manifest(1, "svc-old", 1, List.of("svc-old", "svc-new")))) {
      return Case.NOT_RUN;
    }
    Executor.Shape shape = new Executor.Shape(1_000, 512, 0, 0);
    String id = lab.newJob(shape);
    if (!lab.client(lab.site.fronts.get(0), "POST", id, Lab.job(shape, 3, WORK_MILLIS), 3_000)
        .is2xx()) {
      return Case.NOT_RUN;
    }
    Thread.sleep(1_000);
    if (Lab.isTrouble()) {
      String moved = Lab.manifest(2, "svc-new", 1, List.of("svc-new"));
      if (!lab.order("PUT", "/api/configuration", moved, lab.site.cores).is2xx()) {
        return Case.NOT_RUN;
      }
      Thread.sleep(1_000);
      for (Executor executor : lab.executors.subList(0, 3)) {
        executor.leave(2_500);
      }
    }
    long left = lab.record.now();
    String later = lab.newJob(shape);
    lab.client(lab.site.fronts.get(1), "POST", later, Lab.job(shape, 3, 2_000), 3_000);
    // Longer than any lease, finish_s and the bound of 3 s together, and than the work itself.
    for (int i = 0; i < 40; i++) {
      Thread.sleep(1_000);
      if (i % 5 == 4
          && lab.client(lab.site.fronts.get(2), "GET", id, "", 3_000).body().contains("completed")) {
        return Case.HELD;
      }
    }
    lab.client(lab.site.fronts.get(2), "GET", later, "", 3_000);
    long idleSince = 0;
    boolean isRunning = false;
    for (Executor.Past run : Executor.HISTORY) {
      if (run.isOf(id)) {
        isRunning |= run.endMillis == Long.MAX_VALUE;
        idleSince = Math.max(idleSince, Math.min(run.endMillis, lab.record.now()));
      }
    }
    long idle = isRunning ? 0 : lab.record.now() - idleSince;
    boolean ranLater =
        Executor.HISTORY.stream().anyMatch(run -> run.isOf(later) && run.how.equals("done"));
    lab.record.line("the job accepted before has had nothing running for " + idle
        + " ms; a job handed in at " + left / 1000.0 + " "
        + (ranLater ? "has run" : "has not run") + " in the service that the queue is sent to");
    return idle >= 17_000 && ranLater ? Case.BROKEN : Case.HELD;
  }
}
