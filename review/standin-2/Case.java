package lab;

import java.nio.file.Path;

/** One case: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
interface Case {

  int BROKEN = 1;
  int HELD = 0;
  int NOT_RUN = 2;
  long LIMIT_MILLIS = 112_000;

  int run(Lab lab) throws Exception;

  static void main(String rule, Path folder, Case body) throws Exception {
    endInTime();
    int result = NOT_RUN;
    try (Lab lab = new Lab(folder)) {
      lab.record.line("disruption: " + (Lab.isTrouble() ? "yes" : "no (TROUBLE=0)"));
      result = body.run(lab);
      lab.record.line(
          result == BROKEN ? rule + " is broken" : result == HELD ? rule + " held" : "not run");
    }
    System.out.println(result == BROKEN ? "broken" : result == HELD ? "held" : "not run");
    System.exit(result);
  }

  /** Ends the case, and with it all that it started, before its 120 seconds are over. */
  private static void endInTime() {
    Thread watch =
        new Thread(
            () -> {
              try {
                Thread.sleep(LIMIT_MILLIS);
              } catch (InterruptedException e) {
                return;
              }
              System.out.println("not run: out of time");
              System.exit(NOT_RUN);
            });
    watch.setDaemon(true);
    watch.start();
  }
}
