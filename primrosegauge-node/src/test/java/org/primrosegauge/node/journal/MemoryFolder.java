package org.primrosegauge.node.journal;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeMap;

/** A folder in memory that can fail, and that loses what was not synced when it crashes. */
final class MemoryFolder implements JournalFolder {

  /** Bytes of a file, of which the first ones are durable. */
  private static final class Content {
    byte[] bytes = {};
    int synced;

    void append(byte[] added) {
      int length = bytes.length;
      bytes = Arrays.copyOf(bytes, length + added.length);
      System.arraycopy(added, 0, bytes, length, added.length);
    }
  }

  private final List<TreeMap<String, Content>> unsyncedNames = new ArrayList<>();
  private TreeMap<String, Content> names = new TreeMap<>();
  private TreeMap<String, Content> durableNames = new TreeMap<>();
  private boolean locked;
  private int operationsUntilFailure = Integer.MAX_VALUE;
  private int syncsUntilFailure = Integer.MAX_VALUE;

  /** Makes a later operation fail half done, as on a full disk. */
  void failAfter(int operations) {
    operationsUntilFailure = operations;
  }

  /** Makes a later sync fail. */
  void failSyncAfter(int syncs) {
    syncsUntilFailure = syncs;
  }

  /** Takes writes again; the process that has the folder goes on. */
  void workAgain() {
    operationsUntilFailure = Integer.MAX_VALUE;
    syncsUntilFailure = Integer.MAX_VALUE;
  }

  /** Loses or tears what was not synced, and ends the process that had the folder. */
  void crash(SplittableRandom random) {
    List<TreeMap<String, Content>> states = new ArrayList<>();
    states.add(durableNames);
    states.addAll(unsyncedNames);
    names = new TreeMap<>(states.get(random.nextInt(states.size())));
    names.values().forEach(content -> tear(content, random));
    sync();
    locked = false;
    workAgain();
  }

  private static void tear(Content content, SplittableRandom random) {
    int unsynced = content.bytes.length - content.synced;
    int kept = content.synced + (unsynced == 0 ? 0 : random.nextInt(unsynced + 1));
    content.bytes = Arrays.copyOf(content.bytes, kept);
    // Blocks reach a disk in any order, so a hole may precede bytes that were written later.
    if (kept > content.synced && random.nextInt(2) == 0) {
      content.bytes[content.synced + random.nextInt(kept - content.synced)] ^= 0x55;
    }
    content.synced = kept;
  }

  /** Flips the bits of one byte. */
  void damage(String name, int position) {
    names.get(name).bytes[position] ^= 0x55;
  }

  void put(String name, byte[] bytes) {
    Content content = new Content();
    content.append(bytes);
    content.synced = bytes.length;
    names.put(name, content);
    sync();
  }

  @Override
  public AutoCloseable lock() {
    if (locked) {
      return null;
    }
    locked = true;
    return () -> locked = false;
  }

  @Override
  public List<String> list() {
    return List.copyOf(names.keySet());
  }

  @Override
  public byte[] read(String name) {
    return names.get(name).bytes.clone();
  }

  @Override
  public JournalFile open(String name) {
    Content content = names.computeIfAbsent(name, key -> new Content());
    noteNames();
    return new MemoryFile(content);
  }

  @Override
  public void truncate(String name, long length) throws IOException {
    operate();
    Content content = names.get(name);
    content.bytes = Arrays.copyOf(content.bytes, (int) length);
    content.synced = content.bytes.length;
  }

  @Override
  public void rename(String from, String to) throws IOException {
    operate();
    names.put(to, names.remove(from));
    noteNames();
  }

  @Override
  public void delete(String name) throws IOException {
    operate();
    names.remove(name);
    noteNames();
  }

  @Override
  public void sync() {
    durableNames = new TreeMap<>(names);
    unsyncedNames.clear();
  }

  @Override
  public String toString() {
    return "memory";
  }

  private void noteNames() {
    unsyncedNames.add(new TreeMap<>(names));
  }

  private void operate() throws IOException {
    if (--operationsUntilFailure < 0) {
      throw new IOException("No space left on device");
    }
  }

  private final class MemoryFile implements JournalFile {
    private final Content content;

    MemoryFile(Content content) {
      this.content = content;
    }

    @Override
    public void append(byte[] bytes) throws IOException {
      try {
        operate();
      } catch (IOException e) {
        content.append(Arrays.copyOf(bytes, bytes.length / 2));
        throw e;
      }
      content.append(bytes);
    }

    @Override
    public void sync() throws IOException {
      if (--syncsUntilFailure < 0) {
        throw new IOException("Input/output error");
      }
      content.synced = content.bytes.length;
    }

    @Override
    public void close() {}
  }
}
