package org.primrosegauge.node.daemon;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import java.util.concurrent.CountDownLatch;
import org.primrosegauge.core.PrimrosegaugeException;
import org.primrosegauge.node.cfg.NodeSettings;
import org.primrosegauge.node.log.LogStorage;
import org.primrosegauge.node.log.MemoryStorage;
import org.slf4j.LoggerFactory;

/**
 * Runs one instance in this process until the process is asked to end.
 *
 * @since 0.1
 */
public final class InstanceRunner {

  private InstanceRunner() {}

  /**
   * Runs an instance. SIGTERM and SIGINT end it gracefully.
   *
   * @throws PrimrosegaugeException when it cannot start
   * @since 0.1
   */
  public static void run(NodeSettings settings) throws PrimrosegaugeException {
    setLevel(settings);
    InstanceDaemon daemon = new InstanceDaemon(settings, openStorage(settings));
    CountDownLatch ended = new CountDownLatch(1);
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  daemon.stop();
                  ended.countDown();
                },
                "shutdown"));
    daemon.start();
    try {
      ended.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static LogStorage openStorage(NodeSettings settings) {
    return new MemoryStorage();
  }

  private static void setLevel(NodeSettings settings) {
    Logger root = (Logger) LoggerFactory.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
    root.setLevel(Level.toLevel(settings.logLevel().name()));
  }
}
