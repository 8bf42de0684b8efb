import java.nio.file.Path;
import java.util.Random;

/** A worker is cut off and runs on; over 500 of its tasks end meanwhile. */
final class ManyEnds {

  private static final int TASKS = 800;
  private static final long SHORTEST_MILLIS = 9_000;
  private static final long CUT_MILLIS = 5_000;

  public static void main(String[] args) throws Exception {
    Site site = new Site(Path.of(args[0]), 3, 2);
    try {
      run(site);
    } catch (Exception e) {
      site.record("could not run: " + e);
      Site.exit(2, "could not run: " + e);
    }
    int twice = site.checkTwice();
    site.record("result: " + twice + " pairs of runs break TWICE");
    site.close();
    Site.exit(site.isBroken() ? 1 : 0, twice + " pairs of runs break TWICE");
  }

  private static void run(Site site) throws Exception {
    site.startAll();
    Random random = new Random(1);
    Executor.Work work = (task, attempt) ->
            task.startsWith("5c") ? SHORTEST_MILLIS + Math.floorMod(task.hashCode() * 31, 500) : 500;
    // Five executors of kind a, one of kind b; all like those of the site's sheet.
    for (int i = 0; i < 5; i++) {
      String host = site.executorHost(i);
      new Executor(
          site,
          new Executor.Kind("i-a" + i, Site.ZONES.get(i % 3), "r1-" + i % 3, "a", 64_000, 131_072, 8),
          work, host, site.controlPort, host + ":" + site.controlPort, random.nextInt(300));
    }
    String host = site.executorHost(9);
    Proxy proxy = new Proxy(host, site.controlPort, host, site.controlPort + 1);
    Executor marked =
        new Executor(
            site, new Executor.Kind("i-b0", "lakes-west", "r1-2", "b", 64_000, 131_072, 8), work,
            host, site.controlPort + 1, host + ":" + site.controlPort, 100);
    if (!site.configure()) {
      throw new IllegalStateException("the first manifest was not accepted");
    }
    Site.sleep(2_500);
    // A first job, so that the run does not depend on how fast a fresh process is.
    String warm = "00000000000000aa";
    site.need(warm + ".0", new Site.Need(80, 128, 0));
    if (!site.submit("/batch/" + warm, job(200, 1_000))) {
      throw new IllegalStateException("the first job was not accepted");
    }
    site.awaitState("/batch/" + warm, 30_000, "completed");
    String id = "5c0e7a21d94b36f8";
    site.need(id + ".0", new Site.Need(80, 128, 0));
    if (!site.submit("/batch/" + id, job(TASKS, 9_000))) {
      throw new IllegalStateException("the job was not accepted");
    }
    long end = site.now() + 20_000;
    while (marked.runningCount() < TASKS * 95 / 100 && site.now() < end) {
      Site.sleep(10);
    }
    site.record("tasks running on the worker: " + marked.runningCount());
    long first = site.runs.stream().filter(run -> run.task.startsWith(id))
        .mapToLong(run -> run.startMillis).min().orElseThrow();
    Site.sleep(first + SHORTEST_MILLIS - 200 - site.now());
    if (Site.hasTrouble()) {
      site.record("worker i-b0 is cut off for " + CUT_MILLIS + " ms");
      marked.silent = true;
      proxy.cut();
      Site.sleep(CUT_MILLIS);
      proxy.join();
      marked.silent = false;
      site.record("worker i-b0 is joined again; ends not yet taken note of: "
          + marked.finishedCount());
    }
    site.record("job is shown as " + site.awaitState("/batch/" + id, 30_000, "completed", "failed"));
    Site.sleep(9_000);
  }

  private static String job(int count, long estimateMillis) {
    return "{\"spec\":\"tables\",\"steps\":[{\"count\":" + count
        + ",\"cpu\":80,\"task_memory_mb\":128,\"estimated_runtime_ms\":" + estimateMillis
        + ",\"constraints\":\"b\"}]}";
  }
}
