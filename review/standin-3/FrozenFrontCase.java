import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * A front machine freezes with a submission in its socket. Its requester leaves early, closes the
 * connection and cancels the job at another front. Then the machine wakes.
 */
final class FrozenFrontCase extends Case {

  private static final String PREFIX = "/plan1/";
  private static final String KEY = "d4a3hwrr6x73d3zji9n7";
  private static final int FRONTS = 9;
  private static final int EXECUTORS = 8;
  private static final int FREEZE_MILLIS = 3_500;
  private static final int CANCEL_MILLIS = 3_000;
  private static final int CONTACT_TIMEOUT_MILLIS = 3_000;
  /** Half of the aim of an urgent call, which is 250 ms. */
  private static final int PATIENCE_MILLIS = 125;
  private static final int ROUNDS = 3;

  public static void main(String[] args) {
    main(new FrozenFrontCase(), args);
  }

  @Override
  int run() throws Exception {
    site = new Site(java.nio.file.Path.of(tree()), record, 4, FRONTS);
    site.startAll();
    List<String> controls = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      controls.add(site.control(i));
    }
    String manifest =
        manifest(1, Map.of(PREFIX, 1), List.of(tenant("kaje80", List.of(KEY), 0)));
    if (!order("PUT", "/api/configuration", manifest, 200, controls.toArray(new String[0]))) {
      return NOT_RUN;
    }
    List<String> zones = List.of("klang", "penang", "johor", "kuantan");
    for (int i = 0; i < EXECUTORS; i++) {
      addExecutor(i, zones.get(i % 4), controls);
    }
    awaitService(PREFIX, KEY);
    int broken = 0;
    for (int round = 1; round <= ROUNDS; round++) {
      Thread.sleep(5_000);
      broken += playRound(round, round) ? 1 : 0;
    }
    record.line("CHECK rounds in which the rule was broken: %d of %d", broken, ROUNDS);
    return broken > 0 ? BROKEN : HELD;
  }

  /** Plays a round with one of the fronts; returns whether the rule was broken. */
  private boolean playRound(int round, int frozen) throws Exception {
    // The front has answered calls before, as one in use has.
    for (int i = 0; i < 3; i++) {
      call(site.front(frozen), "GET", PREFIX, KEY, null);
      Thread.sleep(300);
    }
    if (hasTrouble) {
      site.signal(site.fronts.get(frozen), "STOP");
    }
    final long frozenAt = record.nowMillis();
    String id = newJob(1);
    Http.Response submitted =
        Http.call(
            site.front(frozen),
            "POST",
            PREFIX + id,
            Map.of("Host", HOST, "Authorization", "Bearer " + KEY, "X-Deadline-Ms", "3000"),
            job(2_000, 1, 1),
            PATIENCE_MILLIS);
    record.line("REQUESTER submits %s, gets %d %s", id, submitted.status(), submitted.body());
    Http.Response cancelled = call(site.front(0), "DELETE", PREFIX + id, KEY, null);
    final long ackedAt = record.nowMillis();
    record.line("REQUESTER cancels %s, gets %d", id, cancelled.status());
    Thread.sleep(Math.max(0, frozenAt + FREEZE_MILLIS - record.nowMillis()));
    if (hasTrouble) {
      site.signal(site.fronts.get(frozen), "CONT");
    }
    Thread.sleep(CONTACT_TIMEOUT_MILLIS + 1_000);
    long late =
        starts.stream()
            .filter(each -> each.task().startsWith(id))
            .filter(each -> each.atMillis() > ackedAt + CANCEL_MILLIS)
            .peek(
                each ->
                    record.line(
                        "CHECK round %d: %s starts %d ms after the ack of the cancel",
                        round, each.task(), each.atMillis() - ackedAt))
            .count();
    Http.Response state = call(site.front(0), "GET", PREFIX + id, KEY, null);
    record.line("REQUESTER asks for %s, gets %d %s", id, state.status(), state.body());
    boolean isAcked = cancelled.status() == 200 || cancelled.status() == 410;
    return isAcked && late > 0;
  }
}
