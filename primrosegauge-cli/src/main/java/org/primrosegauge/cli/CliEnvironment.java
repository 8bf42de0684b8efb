package org.primrosegauge.cli;

import java.io.PrintWriter;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;
import java.util.function.UnaryOperator;
import org.primrosegauge.core.PrimrosegaugeException;
import org.primrosegauge.node.cfg.NodeSettings;

/**
 * What the commands use of the world around them.
 *
 * @param out where results go
 * @param err where faults and progress go
 * @param variables returns an environment variable, or null
 * @param nowMillis monotonic clock, in milliseconds
 * @param pauseMillis waits for a number of milliseconds
 * @param daemon runs an instance until it is stopped
 * @since 0.1
 */
public record CliEnvironment(
    PrintWriter out,
    PrintWriter err,
    UnaryOperator<String> variables,
    LongSupplier nowMillis,
    LongConsumer pauseMillis,
    Daemon daemon) {

  /** Runs an instance. */
  @FunctionalInterface
  public interface Daemon {

    /**
     * Runs an instance until it is stopped.
     *
     * @return exit code
     * @throws PrimrosegaugeException when it cannot start or has to stop
     */
    int run(NodeSettings settings) throws PrimrosegaugeException;
  }
}
