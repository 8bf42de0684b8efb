package org.primrosegauge.node.log;

import java.util.function.Consumer;
import org.primrosegauge.core.StorageException;
import org.primrosegauge.core.StorageUnavailableException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Supervises a resource that depends on a storage: closes it when the storage fails, and reopens it
 * once the storage accepts writes again. Meanwhile the instance serves requests that need no
 * storage.
 *
 * <p>Thread-safe; {@link #tick} must be called on one thread only. Lifecycle: {@link #open} and
 * {@link #start} once, then any number of failures, then {@link #close}.
 *
 * @param <T> type of the resource
 * @since 0.3
 */
public final class StorageSupervisor<T extends AutoCloseable> implements AutoCloseable {

  private static final Logger LOG = LoggerFactory.getLogger(StorageSupervisor.class);

  /** Interval between attempts to reopen the resource, in milliseconds. */
  private static final long RETRY_MILLIS = 500;

  /**
   * Opens the resource without starting it.
   *
   * @since 0.3
   */
  @FunctionalInterface
  public interface Opener<T> {

    /**
     * Opens the resource.
     *
     * @param onFailure called once if the storage fails
     * @throws StorageException if the storage cannot be read
     * @since 0.3
     */
    T open(Consumer<StorageException> onFailure) throws StorageException;
  }

  /**
   * Checks whether a storage that has failed accepts writes again.
   *
   * @since 0.3
   */
  @FunctionalInterface
  public interface Probe {

    /**
     * Performs a test write.
     *
     * @throws StorageException if the test write fails
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
   * Creates a supervisor whose resource is not open yet.
   *
   * @param starter starts a resource that was opened
   * @param onPermanentFailure called if the storage cannot be used without intervention by an
   *     operator
   * @since 0.3
   */
  public StorageSupervisor(
      Opener<T> opener,
      Consumer<T> starter,
      Probe probe,
      Consumer<StorageException> onPermanentFailure) {
    this.opener = opener;
    this.starter = starter;
    this.probe = probe;
    this.onPermanentFailure = onPermanentFailure;
  }

  /**
   * Opens the resource for the first time. If the storage does not accept writes, the resource is
   * opened by a later {@link #tick}.
   *
   * @throws StorageException if the storage cannot be used without intervention by an operator
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
   * Starts the resource after it was opened for the first time.
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
    T previous = current;
    current = null;
    closeQuietly(previous);
  }

  /**
   * Returns the open resource; null while the storage cannot be used.
   *
   * @since 0.3
   */
  public T current() {
    return current;
  }

  /**
   * Closes a resource whose storage has failed, and tries to reopen it when the next attempt is
   * due.
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
      LOG.error(
          "event=STORAGE_LOST storage failed; the log is closed until writes succeed again", error);
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
      LOG.info(
          "event=STORAGE_BACK storage accepts writes again; log reopened: {}", current != null);
    } catch (StorageUnavailableException e) {
      LOG.debug("storage still does not accept writes; will retry", e);
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
      LOG.warn("resource on a failed storage did not close cleanly; continuing without it", e);
    }
  }
}
