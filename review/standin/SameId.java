import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Workers lose power for a second and start again under the id and the address that they had. */
final class SameId {

  private static final int ROUNDS = 18;
  private static final long DARK_MILLIS = 1_000;
  private static final long FIRST_BEAT_MILLIS =
      Long.parseLong(System.getenv().getOrDefault("FIRST_BEAT", "0"));

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
    Executor.Work work = (task, attempt) -> 2_500;
    List<Executor> lives = new ArrayList<>();
    List<Proxy> links = new ArrayList<>();
    for (int i = 0; i < 7; i++) {
      String host = site.executorHost(i);
      links.add(new Proxy(host, site.controlPort, host, site.controlPort + 1));
      lives.add(start(site, i, work, 50 * i));
    }
    if (!site.configure()) {
      throw new IllegalStateException("the first manifest was not accepted");
    }
    Site.sleep(2_500);
    long[] jobs = {0};
    boolean[] ended = {false};
    Site.thread("requester", () -> {
      while (!ended[0]) {
        String id = String.format("%016x", 0xa000 + jobs[0]++);
        site.need(id + ".0", new Site.Need(8_000, 8_000, 1));
        site.submit(
            "/batch/" + id,
            "{\"spec\":\"plan\",\"steps\":[{\"count\":2,\"cpu\":8000,\"task_memory_mb\":8000,"
                + "\"gpu\":1,\"estimated_runtime_ms\":2500}]}");
        Site.sleep(130);
      }
    });
    Site.sleep(3_000);
    for (int round = 0; round < ROUNDS; round++) {
      if (Site.hasTrouble()) {
        int i = lastStarted(site, lives);
        links.get(i).cut();
        lives.get(i).crash();
        Site.sleep(DARK_MILLIS);
        lives.set(i, start(site, i, work, (long) (random.nextDouble() * FIRST_BEAT_MILLIS)));
        links.get(i).join();
      }
      Site.sleep(3_000);
    }
    ended[0] = true;
    Site.sleep(5_000);
  }

  /** The worker on which a task has started last. */
  private static int lastStarted(Site site, List<Executor> lives) {
    for (int i = site.runs.size() - 1; i >= 0; i--) {
      int found = lives.indexOf(site.runs.get(i).life);
      if (found >= 0) {
        return found;
      }
    }
    return 0;
  }

  private static Executor start(Site site, int i, Executor.Work work, long firstBeat)
      throws Exception {
    String host = site.executorHost(i);
    return new Executor(
        site,
        new Executor.Kind(
            "i-a" + i, Site.ZONES.get(i % 3), "r1-" + i % 3, "a", 64_000, 131_072, 8),
        work, host, site.controlPort + 1, host + ":" + site.controlPort, firstBeat);
  }
}
