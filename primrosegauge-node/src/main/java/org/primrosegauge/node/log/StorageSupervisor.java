package org.primrosegauge.node.log;

import java.util.function.Consumer;
import org.primrosegauge.core.StorageException;
import org.primrosegauge.core.StorageUnavailableException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps something open that lives on a storage: closes it when the storage fails, and opens it
 * again once the storage takes writes. Its instance serves what needs no storage meanwhile.
 *
 * <p>Thread-safe; {@link #tick} is called on one thread. Lifecycle: {@link #open} and {@link
 * #start} once, then any number of failures, then {@link #close}.
 *
 * @param <T> what is kept open
 * @since 0.3
 */
public final class StorageSupervisor<T extends AutoCloseable> implements AutoCloseable {

  private static final Logger LOG = LoggerFactory.getLogger(StorageSupervisor.class);

  /** Pause between two attempts to open, in milliseconds. */
  private static final long RETRY_MILLIS = 500;

  /**
   * Opens what is kept; it does not run yet.
   *
   * @since 0.3
   */
  @FunctionalInterface
  public interface Opener<T> {

    /**
     * Opens it.
     *
     * @param onFailure told once when the storage fails
     * @throws StorageException when the storage cannot be read
     * @since 0.3
     */
    T open(Consumer<StorageException> onFailure) throws StorageException;
  }

  /**
   * Asks a storage that has failed whether it takes writes.
   *
   * @since 0.3
   */
  @FunctionalInterface
  public interface Probe {

    /**
     * Writes something that does not count.
     *
     * @throws StorageException when that fails
     * @since 0.3
     */
    void checkWritable() throws StorageException;
  }

  private final Opener<T> opener;
  private final Consumer<T> starter;
  private final Probe probe;
  private final Consumer<StorageException> onPermanentFailure;
  private volatile T current;
  private volatile boolean hasFailed;
  private long nextAttemptMillis = Long.MIN_VALUE;

  /**
   * Creates a supervisor of something that is not open yet.
   *
   * @param starter has what was opened run
   * @param onUnusable told when the storage cannot be used until someone sees to it
   * @since 0.3
   */
  public StorageSupervisor(
      Opener<T> opener, Consumer<T> starter, Probe probe, Consumer<StorageException> onUnusable) {
    this.opener = opener;
    this.starter = starter;
    this.probe = probe;
    this.onPermanentFailure = onUnusable;
  }

  /**
   * Opens it for the first time, or waits for the storage if that takes no writes.
   *
   * @throws StorageException when the storage cannot be used until someone sees to it
   * @since 0.3
   */
  public void open() throws StorageException {
    try {
      current = opener.open(this::onStorageFailure);
    } catch (StorageUnavailableException e) {
      onStorageFailure(e);
    }
  }

  /**
   * Has it run, after it was opened for the first time.
   *
   * @since 0.3
   */
  public void start() {
    T opened = current;
    if (opened != null) {
      starter.accept(opened);
    }
  }

  @Override
  public void close() {
    T last = current;
    current = null;
    closeQuietly(last);
  }

  /**
   * Returns what is open; null while the storage cannot be used.
   *
   * @since 0.3
   */
  public T current() {
    return current;
  }

  /**
   * Closes what has failed, and opens it again where that is due.
   *
   * @since 0.3
   */
  public void tick(long nowMillis) {
    if (hasFailed && current != null) {
      close();
      nextAttemptMillis = nowMillis;
    }
    if (hasFailed && nowMillis >= nextAttemptMillis) {
      nextAttemptMillis = nowMillis + RETRY_MILLIS;
      reopen();
    }
  }

  private void onStorageFailure(StorageException error) {
    if (error instanceof StorageUnavailableException) {
      LOG.error("event=STORAGE_LOST the log is closed until its storage takes writes", error);
      hasFailed = true;
    } else {
      onPermanentFailure.accept(error);
    }
  }

  private void reopen() {
    try {
      probe.checkWritable();
      hasFailed = false;
      open();
      start();
      LOG.info("event=STORAGE_BACK the log is open again: {}", current != null);
    } catch (StorageUnavailableException e) {
      LOG.debug("the storage still fails", e);
      hasFailed = true;
    } catch (StorageException e) {
      onPermanentFailure.accept(e);
    }
  }

  private static void closeQuietly(AutoCloseable resource) {
    if (resource == null) {
      return;
    }
    try {
      resource.close();
    } catch (Exception e) {
      LOG.warn("what was open on a failed storage did not close", e);
    }
  }
}
