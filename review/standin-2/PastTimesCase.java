package lab;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A job comes that is to run each minute since almost two years ago. Jobs that were accepted before
 * it have to be known all the same.
 */
final class PastTimesCase {

  private static final long REPETITIONS = 1_000_000;
  private static final long INTERVAL_MILLIS = 60_000;
  private static final int FINISH_MILLIS = 14_000;
  private static final int WATCHED_MILLIS = 60_000;
  private static final int RESTART_MILLIS = 500;

  public static void main(String[] args) throws Exception {
    Case.main("LOST", Path.of(args[0]), PastTimesCase::run);
  }

  private static int run(Lab lab) throws Exception {
    for (int i = 0; i < 6; i++) {
      lab.addExecutor("svc", Site.ZONES.get(i % 3), 8_000, 32_768, 0);
    }
    if (!lab.start(Lab.manifest(1, "svc", 1, List.of("svc")))) {
      return Case.NOT_RUN;
    }
    Thread platform = new Thread(() -> restartEnded(lab));
    platform.setDaemon(true);
    platform.start();
    Executor.Shape shape = new Executor.Shape(1_000, 512, 0, 0);
    List<String> jobs = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      String id = lab.newJob(shape);
      jobs.add(id);
      if (!lab.client(lab.site.fronts.get(i), "POST", id, Lab.job(shape, 2, 3_000), 3_000).is2xx()) {
        return Case.NOT_RUN;
      }
    }
    Thread.sleep(500);
    String scheduled = lab.newJob(shape);
    long now = System.currentTimeMillis();
    long start = Lab.isTrouble() ? now - REPETITIONS * INTERVAL_MILLIS : now;
    String body =
        "{\"spec\":\"work=200\",\"steps\":[{\"count\":1,\"cpu\":1000,\"task_memory_mb\":512,"
            + "\"estimated_runtime_ms\":200}],\"repetitions\":" + REPETITIONS + ",\"start_at_ms\":"
            + start + ",\"interval_ms\":" + INTERVAL_MILLIS + "}";
    lab.client(lab.site.fronts.get(0), "POST", scheduled, body, 3_000);
    long handedIn = lab.record.now();
    Thread.sleep(FINISH_MILLIS);
    int asked = 0;
    int answered = 0;
    while (lab.record.now() < handedIn + WATCHED_MILLIS) {
      String id = jobs.get(asked % jobs.size());
      String front = lab.site.fronts.get(asked % lab.site.fronts.size());
      answered += lab.client(front, "GET", id, "", 3_000).status() == 200 ? 1 : 0;
      asked++;
      Thread.sleep(1_000);
    }
    lab.record.line("asked " + asked + " times for the jobs accepted before, from " + FINISH_MILLIS
        + " ms after the last job was handed in: " + answered + " answers with a state");
    return answered == 0 ? Case.BROKEN : Case.HELD;
  }

  /** Starts processes again that have ended by themselves, as the platform does. */
  private static void restartEnded(Lab lab) {
    while (true) {
      try {
        Thread.sleep(RESTART_MILLIS);
        for (String host : lab.site.cores) {
          if (!lab.site.isAlive(host)) {
            lab.record.line(lab.site.name(host) + " has ended by itself");
            lab.site.restart(host);
          }
        }
      } catch (InterruptedException | java.io.IOException e) {
        return;
      }
    }
  }
}
