package org.primrosegauge.node.journal.impl;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.stream.Stream;
import org.primrosegauge.node.journal.JournalFile;
import org.primrosegauge.node.journal.JournalFolder;

/**
 * A folder of the file system.
 *
 * <p>Stateless; used by one thread.
 *
 * @since 0.1
 */
public final class StdJournalFolder implements JournalFolder {

  private static final String LOCK_FILE = "lock";

  private final Path folder;

  /** Creates the port; touches nothing. */
  public StdJournalFolder(Path folder) {
    this.folder = folder.toAbsolutePath();
  }

  @Override
  public AutoCloseable lock() throws IOException {
    create();
    FileChannel channel =
        FileChannel.open(
            folder.resolve(LOCK_FILE), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    if (tryLock(channel) == null) {
      channel.close();
      return null;
    }
    return channel;
  }

  /**
   * Creates the folder; its name is synced each time, since a killed process may not have done so.
   */
  private void create() throws IOException {
    Files.createDirectories(folder);
    syncFolder(folder.getParent());
  }

  private static FileLock tryLock(FileChannel channel) throws IOException {
    try {
      return channel.tryLock();
    } catch (OverlappingFileLockException e) {
      return null;
    }
  }

  @Override
  public List<String> list() throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      return files
          .map(file -> file.getFileName().toString())
          .filter(name -> !name.equals(LOCK_FILE))
          .sorted()
          .toList();
    }
  }

  @Override
  public byte[] read(String name) throws IOException {
    return Files.readAllBytes(folder.resolve(name));
  }

  @Override
  public JournalFile open(String name) throws IOException {
    if (!Files.isDirectory(folder)) {
      create();
    }
    FileChannel channel =
        FileChannel.open(folder.resolve(name), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    channel.position(channel.size());
    return new ChannelFile(channel);
  }

  @Override
  public void truncate(String name, long length) throws IOException {
    try (FileChannel channel = FileChannel.open(folder.resolve(name), StandardOpenOption.WRITE)) {
      channel.truncate(length);
      channel.force(true);
    }
  }

  @Override
  public void rename(String from, String to) throws IOException {
    Files.move(
        folder.resolve(from),
        folder.resolve(to),
        StandardCopyOption.ATOMIC_MOVE,
        StandardCopyOption.REPLACE_EXISTING);
  }

  @Override
  public void delete(String name) throws IOException {
    Files.deleteIfExists(folder.resolve(name));
  }

  @Override
  public void sync() throws IOException {
    syncFolder(folder);
  }

  @Override
  public String toString() {
    return folder.toString();
  }

  private static void syncFolder(Path path) throws IOException {
    try (FileChannel channel = FileChannel.open(path, StandardOpenOption.READ)) {
      channel.force(true);
    }
  }

  private record ChannelFile(FileChannel channel) implements JournalFile {

    @Override
    public void append(byte[] bytes) throws IOException {
      ByteBuffer buffer = ByteBuffer.wrap(bytes);
      while (buffer.hasRemaining()) {
        channel.write(buffer);
      }
    }

    @Override
    public void sync() throws IOException {
      channel.force(false);
    }

    @Override
    public void close() throws IOException {
      channel.close();
    }
  }
}
