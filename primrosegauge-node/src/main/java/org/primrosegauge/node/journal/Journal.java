package org.primrosegauge.node.journal;

import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.HexFormat;
import java.util.function.Supplier;
import org.primrosegauge.core.StorageException;
import org.primrosegauge.core.log.LogAction;
import org.primrosegauge.core.log.RecoveredLog;
import org.primrosegauge.core.log.StorageId;
import org.primrosegauge.node.journal.impl.JournalStore;
import org.primrosegauge.node.journal.impl.StdJournalFolder;
import org.primrosegauge.node.log.LogStorage;

/**
 * Durable storage of a replica in one data folder.
 *
 * <p>Records are appended to a segment and become durable together with the next {@link #sync}. A
 * snapshot starts a new segment that holds all that is still needed; the earlier files are deleted
 * once it is durable. After a failed write or sync nothing is tried again: what is durable then is
 * not known until the folder is read anew.
 *
 * <p>Single-threaded. Life-cycle: {@link #recover} once, then {@link #write} and {@link #sync},
 * then {@link #close}.
 *
 * @since 0.1
 */
public final class Journal implements LogStorage {

  /** Size after which a segment is followed by another, in bytes. */
  public static final int SEGMENT_BYTES = 16 * 1024 * 1024;

  private static final int STORAGE_ID_BYTES = 16;

  private final JournalStore store;

  /**
   * Creates a journal in a folder of the file system; touches nothing yet.
   *
   * @since 0.1
   */
  public Journal(Path folder) {
    this(new StdJournalFolder(folder), Journal::randomStorageId, SEGMENT_BYTES);
  }

  /**
   * Creates a journal in any folder.
   *
   * @param folder port to the files
   * @param newStorage creates the id that the folder gets when it is empty
   * @param segmentBytes size after which a segment is followed by another
   * @since 0.1
   */
  public Journal(JournalFolder folder, Supplier<StorageId> newStorage, int segmentBytes) {
    this.store = new JournalStore(folder, newStorage, segmentBytes);
  }

  /**
   * Proves that the folder takes writes, by some that are deleted again.
   *
   * @throws StorageException when it does not
   * @since 0.3
   */
  public void checkWritable() throws StorageException {
    store.checkWritable();
  }

  @Override
  public RecoveredLog recover() throws StorageException {
    return store.recover();
  }

  @Override
  public void write(LogAction.Persist write) throws StorageException {
    store.write(write);
  }

  @Override
  public void sync() throws StorageException {
    store.sync();
  }

  @Override
  public void close() {
    store.close();
  }

  private static StorageId randomStorageId() {
    byte[] bytes = new byte[STORAGE_ID_BYTES];
    new SecureRandom().nextBytes(bytes);
    return new StorageId(HexFormat.of().formatHex(bytes));
  }
}
