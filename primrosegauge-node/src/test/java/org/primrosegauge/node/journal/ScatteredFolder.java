package org.primrosegauge.node.journal;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * A folder in memory of which a loss of power keeps or loses each unsynced creation, rename and
 * deletion independently, whatever their order. A new file is durable once it is synced itself.
 */
final class ScatteredFolder implements JournalFolder {

  /** Bytes of a file, of which the first ones are durable. */
  private static final class Content {
    private byte[] bytes = {};
    private int synced;
  }

  /** Change of the names; makes {@code to} name the content, or nothing if that is null. */
  private record NameChange(String from, String to, Content content) {}

  private final List<NameChange> unsynced = new ArrayList<>();
  private final TreeMap<String, Content> names = new TreeMap<>();
  private final TreeMap<String, Content> durableNames = new TreeMap<>();
  private int operationsUntilKill = Integer.MAX_VALUE;

  /** Makes all operations after some more of them fail, as if the process had been killed. */
  void killAfter(int operations) {
    operationsUntilKill = operations;
  }

  /** Starts the process again; the files are as they were when it ended. */
  void restart() {
    operationsUntilKill = Integer.MAX_VALUE;
  }

  /** Loses power: what is not synced may be lost. */
  void losePower(SplittableRandom random) {
    for (NameChange change : unsynced) {
      if (random.nextBoolean()) {
        apply(change, durableNames);
      }
    }
    unsynced.clear();
    names.clear();
    names.putAll(durableNames);
    for (Content content : names.values()) {
      int written = content.bytes.length - content.synced;
      int kept = content.synced + (written == 0 ? 0 : random.nextInt(written + 1));
      content.bytes = Arrays.copyOf(content.bytes, kept);
      content.synced = kept;
    }
    restart();
  }

  private static void apply(NameChange change, TreeMap<String, Content> to) {
    if (change.from() != null) {
      to.remove(change.from());
    }
    if (change.content() == null) {
      to.remove(change.to());
    } else {
      to.put(change.to(), change.content());
    }
  }

  private void change(NameChange change) {
    apply(change, names);
    unsynced.add(change);
  }

  @Override
  public AutoCloseable lock() throws IOException {
    operate();
    return () -> {};
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
  public JournalFile open(String name) throws IOException {
    operate();
    if (!names.containsKey(name)) {
      change(new NameChange(null, name, new Content()));
    }
    return new ScatteredFile(names.get(name));
  }

  @Override
  public void truncate(String name, long length) throws IOException {
    operate();
    Content content = names.get(name);
    content.bytes = Arrays.copyOf(content.bytes, (int) length);
    content.synced = (int) length;
  }

  @Override
  public void rename(String from, String to) throws IOException {
    operate();
    change(new NameChange(from, to, names.get(from)));
  }

  @Override
  public void delete(String name) throws IOException {
    operate();
    if (names.containsKey(name)) {
      change(new NameChange(null, name, null));
    }
  }

  @Override
  public void sync() throws IOException {
    operate();
    unsynced.clear();
    durableNames.clear();
    durableNames.putAll(names);
  }

  @Override
  public String toString() {
    return "scattered";
  }

  private void operate() throws IOException {
    if (--operationsUntilKill < 0) {
      throw new IOException("killed");
    }
  }

  private final class ScatteredFile implements JournalFile {

    private final Content content;

    ScatteredFile(Content content) {
      this.content = content;
    }

    @Override
    public void append(byte[] bytes) throws IOException {
      operate();
      int length = content.bytes.length;
      content.bytes = Arrays.copyOf(content.bytes, length + bytes.length);
      System.arraycopy(bytes, 0, content.bytes, length, bytes.length);
    }

    @Override
    public void sync() throws IOException {
      operate();
      content.synced = content.bytes.length;
      for (NameChange change : List.copyOf(unsynced)) {
        boolean isCreation = change.from() == null && change.content() == content;
        if (isCreation) {
          apply(change, durableNames);
          unsynced.remove(change);
        }
      }
    }

    @Override
    public void close() {}
  }
}
