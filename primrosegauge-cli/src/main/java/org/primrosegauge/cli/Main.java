package org.primrosegauge.cli;

import java.io.PrintWriter;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.primrosegauge.core.PrimrosegaugeException;
import org.primrosegauge.node.cfg.NodeSettings;
import org.primrosegauge.node.daemon.InstanceRunner;

/**
 * Entry point of the command line.
 *
 * @since 0.1
 */
public final class Main {

  private Main() {}

  /**
   * Runs one command line and exits with its code.
   *
   * @since 0.1
   */
  public static void main(String[] arguments) {
    CliEnvironment environment =
        new CliEnvironment(
            new PrintWriter(System.out, true),
            new PrintWriter(System.err, true),
            System::getenv,
            () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()),
            millis -> LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(millis)),
            Main::runInstance);
    System.exit(PrimrosegaugeCommand.execute(environment, arguments));
  }

  private static int runInstance(NodeSettings settings) throws PrimrosegaugeException {
    InstanceRunner.run(settings);
    return ExitCodes.OK;
  }
}
