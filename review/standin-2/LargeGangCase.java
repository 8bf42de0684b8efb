package lab;

import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/** A large job of priority 0 comes: a gang of 250 small tasks. It has to run. */
final class LargeGangCase {

  private static final int LARGE = 250;
  private static final int USUAL = 16;
  private static final long RECLAIM_TIMEOUT_MILLIS = 2_900;

  public static void main(String[] args) throws Exception {
    Case.main("RECLAIM", Path.of(args[0]), LargeGangCase::run);
  }

  private static int run(Lab lab) throws Exception {
    for (int i = 0; i < 6; i++) {
      lab.addExecutor("svc", Site.ZONES.get(i % 3), 64_000, 262_144, 8);
    }
    if (!lab.start(Lab.manifest(1, "svc", 0, List.of("svc")))) {
      return Case.NOT_RUN;
    }
    int size = Lab.isTrouble() ? LARGE : USUAL;
    Executor.Shape shape = new Executor.Shape(250, 256, 0, size);
    String id = lab.newJob(shape);
    if (!lab.client(lab.site.fronts.get(0), "POST", id, Lab.job(shape, size, 1_000), 3_000)
        .is2xx()) {
      return Case.NOT_RUN;
    }
    long acked = lab.record.now();
    boolean isCompleted = false;
    for (int i = 0; i < 60 && !isCompleted; i++) {
      Thread.sleep(1_000);
      isCompleted =
          lab.client(lab.site.fronts.get(1), "GET", id, "", 3_000).body().contains("completed");
    }
    Set<String> begun =
        Executor.HISTORY.stream()
            .filter(run -> run.isOf(id) && run.beginMillis <= acked + RECLAIM_TIMEOUT_MILLIS)
            .map(run -> run.task)
            .collect(Collectors.toSet());
    long attempts =
        Executor.HISTORY.stream().filter(run -> run.isOf(id)).map(run -> run.attempt).distinct().count();
    lab.record.line(begun.size() + " of " + size + " tasks had begun, in whatever attempt, "
        + RECLAIM_TIMEOUT_MILLIS + " ms after the ack; " + attempts + " attempts in all; "
        + (isCompleted ? "completed" : "not completed") + " "
        + (lab.record.now() - acked) + " ms after the ack");
    return begun.size() < size ? Case.BROKEN : Case.HELD;
  }
}
