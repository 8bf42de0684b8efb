package org.primrosegauge.node.daemon;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import org.primrosegauge.core.PrimrosegaugeException;
import org.primrosegauge.core.StorageException;
import org.primrosegauge.node.cfg.NodeSettings;
import org.primrosegauge.node.journal.Journal;
import org.primrosegauge.node.log.LogStorage;
import org.primrosegauge.node.log.MemoryStorage;
import org.slf4j.LoggerFactory;

/**
 * Runs one instance in this process until the process is asked to end.
 *
 * @since 0.1
 */
public final class InstanceRunner {

  private static final String LOG_FOLDER = "log";

  private InstanceRunner() {}

  /**
   * Runs an instance. SIGTERM and SIGINT end it gracefully.
   *
   * @throws PrimrosegaugeException when it cannot start
   * @since 0.1
   */
  public static void run(NodeSettings settings) throws PrimrosegaugeException {
    setLevel(settings);
    CompletableFuture<StorageException> failure = new CompletableFuture<>();
    InstanceDaemon daemon = new InstanceDaemon(settings, openStorage(settings), failure::complete);
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  if (!failure.isDone()) {
                    daemon.stop();
                  }
                },
                "shutdown"));
    daemon.start();
    try {
      throw failure.get();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (ExecutionException e) {
      throw new IllegalStateException("a storage failure is a value, not an exception", e);
    }
  }

  /** Opens the data folder of a voter; other instances keep nothing that must outlive them. */
  private static LogStorage openStorage(NodeSettings settings) {
    if (!settings.instance().voter()) {
      return new MemoryStorage();
    }
    return new Journal(settings.instance().dataFolder().orElseThrow().resolve(LOG_FOLDER));
  }

  private static void setLevel(NodeSettings settings) {
    Logger root = (Logger) LoggerFactory.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
    root.setLevel(Level.toLevel(settings.logLevel().name()));
  }
}
