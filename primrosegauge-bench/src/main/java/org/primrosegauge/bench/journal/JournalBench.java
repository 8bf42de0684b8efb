package org.primrosegauge.bench.journal;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.HdrHistogram.Histogram;
import org.primrosegauge.bench.Figure;
import org.primrosegauge.core.StorageException;
import org.primrosegauge.core.Term;
import org.primrosegauge.core.log.LogAction.PersistEntries;
import org.primrosegauge.core.log.LogEntry;
import org.primrosegauge.core.log.LogIndex;
import org.primrosegauge.node.journal.Journal;

/**
 * Measures commits a second and their latency: group commit against one sync for each record, with
 * the same clients, journal and disk. The two take turns, so that a change of the disk's speed
 * reaches both.
 *
 * <p>Arguments: the folder to write to; without it, a folder below the working directory.
 *
 * @since 0.1
 */
public final class JournalBench {

  private static final int CLIENTS = 32;
  private static final int COMMAND_BYTES = 512;
  private static final int ROUNDS = 5;
  private static final long ROUND_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);
  private static final int MICROS_DIGITS = 3;

  private record Commit(long startNanos, Semaphore done) {}

  private JournalBench() {}

  /** Runs the benchmark. */
  public static void main(String[] args) throws Exception {
    Path parent = Path.of(args.length > 0 ? args[0] : "target");
    Files.createDirectories(parent);
    Result group = new Result();
    Result single = new Result();
    run(parent, CLIENTS, new Result());
    for (int round = 0; round < ROUNDS; round++) {
      run(parent, CLIENTS, group);
      run(parent, 1, single);
    }
    System.out.println(
        new Figure(
                "journal.commits", group.perSecond(), "1/s", single.perSecond(), Double.NaN, false)
            .json());
    System.out.println(
        new Figure(
                "journal.commit-p99",
                group.millisAt(99),
                "ms",
                single.millisAt(99),
                Double.NaN,
                false)
            .json());
  }

  /** Latencies in microseconds, and how long it took to collect them. */
  private static final class Result {
    final Histogram micros = new Histogram(MICROS_DIGITS);
    long nanos;

    double perSecond() {
      return micros.getTotalCount() * (double) TimeUnit.SECONDS.toNanos(1) / nanos;
    }

    double millisAt(double percentile) {
      return micros.getValueAtPercentile(percentile) / 1_000.0;
    }
  }

  private static void run(Path parent, int maxBatch, Result result) throws Exception {
    Path folder = Files.createTempDirectory(parent, "journal-bench");
    BlockingQueue<Commit> ring = new ArrayBlockingQueue<>(CLIENTS);
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      Thread client = new Thread(() -> commitUntilInterrupted(ring));
      client.start();
      clients.add(client);
    }
    Journal journal = new Journal(folder);
    journal.recover();
    commit(journal, ring, maxBatch, result);
    journal.close();
    clients.forEach(Thread::interrupt);
    for (Thread client : clients) {
      client.join();
    }
    delete(folder);
  }

  private static void commit(
      Journal journal, BlockingQueue<Commit> ring, int maxBatch, Result result)
      throws StorageException, InterruptedException {
    long start = System.nanoTime();
    long index = 0;
    List<Commit> batch = new ArrayList<>();
    while (System.nanoTime() - start < ROUND_NANOS) {
      batch.add(ring.take());
      ring.drainTo(batch, maxBatch - 1);
      for (int i = 0; i < batch.size(); i++) {
        journal.write(entry(++index));
      }
      journal.sync();
      long now = System.nanoTime();
      for (Commit commit : batch) {
        result.micros.recordValue(TimeUnit.NANOSECONDS.toMicros(now - commit.startNanos()));
        commit.done().release();
      }
      batch.clear();
    }
    result.nanos += System.nanoTime() - start;
  }

  private static PersistEntries entry(long index) {
    LogEntry entry =
        new LogEntry(new LogIndex(index), new Term(1), index, null, new byte[COMMAND_BYTES]);
    return new PersistEntries(index, List.of(entry));
  }

  private static void commitUntilInterrupted(BlockingQueue<Commit> ring) {
    Semaphore done = new Semaphore(0);
    try {
      while (!Thread.currentThread().isInterrupted()) {
        ring.put(new Commit(System.nanoTime(), done));
        done.acquire();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void delete(Path folder) throws Exception {
    try (Stream<Path> files = Files.list(folder)) {
      for (Path file : files.toList()) {
        Files.delete(file);
      }
    }
    Files.delete(folder);
  }
}
