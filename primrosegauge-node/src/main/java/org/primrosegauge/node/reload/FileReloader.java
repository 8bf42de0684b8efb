package org.primrosegauge.node.reload;

import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.primrosegauge.core.PrimrosegaugeException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Checks reloading files at an interval, on a thread of its own. A failure is logged and tried
 * again.
 *
 * <p>Life-cycle: checks from {@link #start} until {@link #close}.
 *
 * @since 0.1
 */
public final class FileReloader implements AutoCloseable {

  /** Pause between two checks, in milliseconds. */
  public static final long INTERVAL_MILLIS = 2_000;

  private static final Logger LOG = LoggerFactory.getLogger(FileReloader.class);

  private final ScheduledExecutorService executor;

  private FileReloader(ScheduledExecutorService executor) {
    this.executor = executor;
  }

  /**
   * Starts to check files.
   *
   * @since 0.1
   */
  public static FileReloader start(List<ReloadingFiles<?>> files) {
    ScheduledExecutorService executor =
        Executors.newSingleThreadScheduledExecutor(FileReloader::thread);
    executor.scheduleWithFixedDelay(
        () -> files.forEach(FileReloader::check),
        INTERVAL_MILLIS,
        INTERVAL_MILLIS,
        TimeUnit.MILLISECONDS);
    return new FileReloader(executor);
  }

  @Override
  public void close() {
    executor.shutdownNow();
  }

  private static Thread thread(Runnable task) {
    Thread thread = new Thread(task, "reload");
    thread.setDaemon(true);
    return thread;
  }

  private static void check(ReloadingFiles<?> files) {
    try {
      if (files.check()) {
        LOG.info("files of {} reloaded", files.current().getClass().getSimpleName());
      }
    } catch (PrimrosegaugeException e) {
      LOG.error("the last good files stay in use: {}", e.getMessage());
    } catch (RuntimeException e) {
      // An exception that left this method would end all later checks.
      LOG.error("a check of files failed", e);
    }
  }
}
