package org.primrosegauge.node.journal.impl;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.List;
import java.util.function.Supplier;
import org.primrosegauge.core.StorageException;
import org.primrosegauge.core.Term;
import org.primrosegauge.core.log.LogAction.Persist;
import org.primrosegauge.core.log.LogAction.PersistEntries;
import org.primrosegauge.core.log.LogAction.PersistHardState;
import org.primrosegauge.core.log.LogAction.PersistSnapshot;
import org.primrosegauge.core.log.LogEntry;
import org.primrosegauge.core.log.LogIndex;
import org.primrosegauge.core.log.LogSnapshot;
import org.primrosegauge.core.log.RecoveredLog;
import org.primrosegauge.core.log.StorageId;
import org.primrosegauge.node.journal.JournalFile;
import org.primrosegauge.node.journal.JournalFolder;
import org.primrosegauge.node.journal.impl.JournalRecord.Type;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The files of a journal.
 *
 * <p>Single-threaded; lives as long as its journal.
 *
 * @since 0.1
 */
public final class JournalStore {

  private static final Logger LOG = LoggerFactory.getLogger(JournalStore.class);

  private static final int MAX_BUFFERED_BYTES = 1024 * 1024;

  /** A file that says nothing and may be left over. */
  private static final String PROBE = "probe" + JournalNames.TEMPORARY;

  private static final int PROBE_BYTES = 64 * 1024;

  private final JournalFolder folder;
  private final Supplier<StorageId> newStorage;
  private final int segmentBytes;
  private final JournalCodec codec = new JournalCodec();
  private final ByteArrayOutputStream buffer = new ByteArrayOutputStream();
  private JournalContent content;
  private AutoCloseable lock;
  private JournalFile segment;
  private long segmentNumber;
  private long segmentOffset;
  private boolean failed;

  /** Creates the store; touches nothing yet. */
  public JournalStore(JournalFolder folder, Supplier<StorageId> newStorage, int segmentBytes) {
    this.folder = folder;
    this.newStorage = newStorage;
    this.segmentBytes = segmentBytes;
  }

  // Life-cycle

  /** Reads the folder, or makes a new journal in an empty one. */
  public RecoveredLog recover() throws StorageException {
    try {
      lock = folder.lock();
      if (lock == null) {
        throw StorageErrors.inUse(folder.toString());
      }
      StorageId storage = folder.list().contains(JournalNames.FORMAT) ? readFormat() : create();
      readContent();
      return content.recovered(storage);
    } catch (IOException e) {
      close();
      throw StorageErrors.failed("reading the data folder", folder.toString(), e);
    } catch (StorageException e) {
      close();
      throw e;
    }
  }

  /** Writes, syncs and deletes a file of some size. */
  public void checkWritable() throws StorageException {
    try (JournalFile file = folder.open(PROBE)) {
      file.append(new byte[PROBE_BYTES]);
      file.sync();
      folder.delete(PROBE);
    } catch (IOException e) {
      throw StorageErrors.failed("writing to the data folder", folder.toString(), e);
    }
  }

  private void readContent() throws StorageException, IOException {
    JournalRecovery recovery = new JournalRecovery(folder, codec);
    segmentNumber = recovery.recover();
    content = recovery.content();
    segmentOffset = folder.read(JournalNames.segment(segmentNumber)).length;
    segment = folder.open(JournalNames.segment(segmentNumber));
    // What was read may still be in the cache of the system only.
    segment.sync();
  }

  /** Closes the files and gives the folder up. */
  public void close() {
    failed = true;
    closeQuietly(segment);
    closeQuietly(lock);
  }

  private static void closeQuietly(AutoCloseable resource) {
    try {
      if (resource != null) {
        resource.close();
      }
    } catch (Exception e) {
      // Nothing was promised about what is not synced, so its user needs no error.
      LOG.warn("a file of the journal did not close", e);
    }
  }

  // Main API

  /** Writes without syncing. */
  public void write(Persist write) throws StorageException {
    perform(
        "writing",
        () -> {
          content.apply(write);
          if (write instanceof PersistHardState state) {
            append(codec.write(Type.HARD_STATE, state.hardState()));
          } else if (write instanceof PersistEntries added) {
            for (LogEntry entry : added.entries()) {
              append(codec.write(Type.ENTRY, entry));
            }
          } else if (write instanceof PersistSnapshot taken) {
            writeSnapshot(taken.snapshot());
            startBase();
          }
        });
  }

  /** Makes all writes durable. */
  public void sync() throws StorageException {
    perform(
        "syncing",
        () -> {
          flush();
          segment.sync();
          append(new SyncMark(segmentNumber, segmentOffset).toRecord());
          flush();
          if (segmentOffset >= segmentBytes) {
            startFollowing();
          }
        });
  }

  // Internals

  private interface Operation {
    void run() throws IOException;
  }

  private void perform(String name, Operation operation) throws StorageException {
    if (failed) {
      throw StorageErrors.closed(folder.toString());
    }
    try {
      operation.run();
    } catch (IOException e) {
      // After a failed sync the system may drop the unwritten pages and report success the next
      // time, so nothing is tried again.
      close();
      throw StorageErrors.failed(name, folder.toString(), e);
    }
  }

  private void append(JournalRecord record) throws IOException {
    buffer.writeBytes(record.encode());
    if (buffer.size() >= MAX_BUFFERED_BYTES) {
      flush();
    }
  }

  private void flush() throws IOException {
    if (buffer.size() > 0) {
      byte[] bytes = buffer.toByteArray();
      buffer.reset();
      segment.append(bytes);
      segmentOffset += bytes.length;
    }
  }

  private void writeSnapshot(LogSnapshot snapshot) throws IOException {
    writeFile(JournalNames.snapshot(start(true)), codec.write(Type.SNAPSHOT, snapshot).encode());
  }

  /** Starts a segment that holds all that is needed, and deletes what came before. */
  private void startBase() throws IOException {
    buffer.reset();
    segmentNumber++;
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    bytes.writeBytes(codec.write(Type.START, start(true)).encode());
    bytes.writeBytes(codec.write(Type.HARD_STATE, content.hardState()).encode());
    for (LogEntry entry : content.entries()) {
      bytes.writeBytes(codec.write(Type.ENTRY, entry).encode());
    }
    bytes.writeBytes(new SyncMark(segmentNumber, bytes.size()).toRecord().encode());
    writeFile(JournalNames.segment(segmentNumber), bytes.toByteArray());
    open();
    removeUnused();
  }

  private void startFollowing() throws IOException {
    // The sync mark that ends this segment must be durable: only the last segment may be torn.
    segment.sync();
    segmentNumber++;
    writeFile(JournalNames.segment(segmentNumber), codec.write(Type.START, start(false)).encode());
    open();
  }

  private void open() throws IOException {
    segment.close();
    segment = folder.open(JournalNames.segment(segmentNumber));
    segmentOffset = folder.read(JournalNames.segment(segmentNumber)).length;
  }

  private void removeUnused() throws IOException {
    String snapshot = JournalNames.snapshot(start(true));
    for (String name : folder.list()) {
      if (JournalNames.isUnused(name, segmentNumber, snapshot)) {
        folder.delete(name);
      }
    }
    folder.sync();
  }

  private SegmentStart start(boolean base) {
    LogSnapshot snapshot = content == null ? null : content.snapshot();
    LogIndex index = snapshot == null || !base ? LogIndex.NONE : snapshot.index();
    Term term = snapshot == null || !base ? Term.NONE : snapshot.term();
    return new SegmentStart(segmentNumber, base, index, term);
  }

  /** Writes a whole file so that it is there completely or not at all. */
  private void writeFile(String name, byte[] bytes) throws IOException {
    String temporary = name + JournalNames.TEMPORARY;
    folder.delete(temporary);
    try (JournalFile file = folder.open(temporary)) {
      file.append(bytes);
      file.sync();
    }
    folder.rename(temporary, name);
    folder.sync();
  }

  private StorageId create() throws IOException, StorageException {
    List<String> names = folder.list();
    String first = JournalNames.segment(1);
    for (String name : names) {
      if (!name.endsWith(JournalNames.TEMPORARY) && !name.equals(first)) {
        throw StorageErrors.foreign("it holds " + name, folder.toString());
      }
    }
    // The format file comes last: with it, a missing segment is damage, never a new folder.
    segmentNumber = 1;
    writeFile(first, codec.write(Type.START, start(true)).encode());
    StorageId created = newStorage.get();
    JournalFormat format = new JournalFormat(JournalFormat.VERSION, created);
    writeFile(JournalNames.FORMAT, codec.write(Type.FORMAT, format).encode());
    return created;
  }

  private StorageId readFormat() throws IOException, StorageException {
    String location = folder + "/" + JournalNames.FORMAT;
    JournalRecord record = JournalRecord.decode(folder.read(JournalNames.FORMAT), 0);
    if (record == null || record.type() != Type.FORMAT) {
      throw StorageErrors.foreign("its format file cannot be read", location);
    }
    JournalFormat format = codec.read(record, JournalFormat.class);
    if (format.version() != JournalFormat.VERSION) {
      throw StorageErrors.otherFormat(format.version(), location);
    }
    return format.storage();
  }
}
