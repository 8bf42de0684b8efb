package lab;

import java.nio.file.Path;
import java.util.List;

/**
 * A client hands a job in at a front that has just frozen, leaves, and cancels the job at another
 * front, which answers 410. When the first front goes on, the job must not be started.
 */
final class CancelledCallCase {

  private static final int FROZEN_MILLIS = 3_500;
  private static final int PATIENCE_MILLIS = 125;
  private static final int CANCEL_MILLIS = 3_000;

  public static void main(String[] args) throws Exception {
    Case.main("UNASKED", Path.of(args[0]), CancelledCallCase::run);
  }

  private static int run(Lab lab) throws Exception {
    for (int i = 0; i < 6; i++) {
      lab.addExecutor("svc", Site.ZONES.get(i % 3), 8_000, 32_768, 0);
    }
    if (!lab.start(Lab.manifest(1, "svc", 1, List.of("svc")))) {
      return Case.NOT_RUN;
    }
    String first = lab.site.fronts.get(0);
    String other = lab.site.fronts.get(1);
    Executor.Shape shape = new Executor.Shape(1_000, 512, 0, 0);
    String id = lab.newJob(shape);
    if (Lab.isTrouble()) {
      lab.site.signal(first, "STOP");
    }
    long frozen = lab.record.now();
    lab.client(first, "POST", id, Lab.job(shape, 4, 2_000), PATIENCE_MILLIS);
    Http.Answer cancelled = lab.client(other, "DELETE", id, "", 3_000);
    long acked = lab.record.now();
    if (!cancelled.is2xx() && cancelled.status() != 410) {
      return Case.NOT_RUN;
    }
    Thread.sleep(Math.max(0, frozen + FROZEN_MILLIS - lab.record.now()));
    if (Lab.isTrouble()) {
      lab.site.signal(first, "CONT");
    }
    Thread.sleep(8_000);
    lab.client(other, "GET", id, "", 3_000);
    long late =
        Executor.HISTORY.stream()
            .filter(run -> run.isOf(id) && run.beginMillis > acked + CANCEL_MILLIS)
            .count();
    lab.record.line(late + " starts later than " + CANCEL_MILLIS + " ms after the cancel's ack");
    return late > 0 ? Case.BROKEN : Case.HELD;
  }
}
