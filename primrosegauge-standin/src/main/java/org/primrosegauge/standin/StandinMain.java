package org.primrosegauge.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.Callable;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.RackId;
import org.primrosegauge.core.ServiceId;
import org.primrosegauge.core.TargetId;
import org.primrosegauge.core.job.Resources;
import org.primrosegauge.wire.WireMappers;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Runs the workers and executors of one failure domain as stand-ins, until it is ended.
 *
 * @since 0.1
 */
@Command(name = "standin", description = "Stand-ins for the targets of one failure domain.")
public final class StandinMain implements Callable<Integer> {

  private static final ObjectMapper JSON = WireMappers.json();
  private static final long MIB_PER_GIB = 1_024;
  private static final long MILLI_CORES_PER_CORE = 1_000;

  @Option(names = "--instances", required = true, split = ",", description = "Base addresses.")
  private List<String> instances;

  @Option(names = "--domain", required = true, description = "Failure domain.")
  private String domain;

  @Option(names = "--host", defaultValue = "127.0.0.1", description = "Host to bind.")
  private String host;

  @Option(names = "--port", defaultValue = "0", description = "Port to bind; 0 for any.")
  private int port;

  @Option(names = "--workers", defaultValue = "10", description = "Number of workers.")
  private int workers;

  @Option(names = "--workers-per-rack", defaultValue = "6", description = "Workers in a rack.")
  private int workersPerRack;

  @Option(names = "--cores", defaultValue = "64", description = "Cores of a worker.")
  private int cores;

  @Option(names = "--memory-gib", defaultValue = "250", description = "Memory of a worker, GiB.")
  private int memoryGib;

  @Option(names = "--accelerators", defaultValue = "8", description = "Of one worker.")
  private int accelerators;

  @Option(names = "--executors", defaultValue = "10", description = "Number of executors.")
  private int executors;

  @Option(names = "--service", defaultValue = "kutipan-core", description = "Of the executors.")
  private String service;

  @Option(names = "--slots", defaultValue = "8", description = "Slots of an executor.")
  private int slots;

  @Option(names = "--connections", defaultValue = "60", description = "Of an executor.")
  private int connections;

  @Option(names = "--announce-millis", defaultValue = "500", description = "Interval, ms.")
  private long announceMillis;

  @Option(names = "--service-millis", defaultValue = "5", description = "Time of a request, ms.")
  private long serviceMillis;

  @Option(names = "--history", description = "File that task events are appended to.")
  private Path history;

  /**
   * Entry point.
   *
   * @since 0.1
   */
  public static void main(String[] args) {
    System.exit(new CommandLine(new StandinMain()).execute(args));
  }

  @Override
  public Integer call() throws InterruptedException {
    TargetHost targets =
        new TargetHost(
            instances, Duration.ofMillis(announceMillis), Duration.ofMillis(serviceMillis));
    targets.start(host, port);
    addWorkers(targets);
    addExecutors(targets);
    Thread.currentThread().join();
    return 0;
  }

  private void addWorkers(TargetHost targets) {
    Resources capacity =
        new Resources(cores * MILLI_CORES_PER_CORE, memoryGib * MIB_PER_GIB, accelerators);
    for (int i = 0; i < workers; i++) {
      TargetId id = new TargetId(domain + "-worker-" + i);
      RackId rack = new RackId(domain + "-rack-" + i / workersPerRack);
      targets.add(
          new WorkerStandin(
              id, new FailureDomainId(domain), rack, capacity, targets.addressOf(id), this::note));
    }
  }

  private void addExecutors(TargetHost targets) {
    for (int i = 0; i < executors; i++) {
      TargetId id = new TargetId(domain + "-executor-" + i);
      targets.add(
          new ExecutorStandin(
              id,
              new ServiceId(service),
              new FailureDomainId(domain),
              slots,
              connections,
              targets.addressOf(id)));
    }
  }

  /** Appends one JSON line with the wall time, for the checker of fault runs. */
  private synchronized void note(WorkerStandin.TaskEvent event) {
    if (history == null) {
      return;
    }
    try {
      HistoryLine line = new HistoryLine(System.currentTimeMillis(), event);
      byte[] bytes = (JSON.writeValueAsString(line) + "\n").getBytes(StandardCharsets.UTF_8);
      Files.write(history, bytes, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    } catch (IOException e) {
      System.err.println("history cannot be written: " + e);
    }
  }

  private record HistoryLine(long wallMillis, WorkerStandin.TaskEvent event) {}
}
