package org.primrosegauge.bench.fault;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.OptionalInt;
import java.util.concurrent.Callable;
import java.util.stream.Collectors;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * Parts of a fault run that {@code bin/fault-local} puts together. It starts no process.
 *
 * @since 0.1
 */
@Command(name = "fault", description = "Plans, drives or checks a fault run.")
public final class FaultMain implements Callable<Integer> {

  private enum Part {
    PORTS,
    PLAN,
    DRIVE,
    CHECK
  }

  private static final int FAILED = 1;

  @Parameters(index = "0", description = "One of ${COMPLETION-CANDIDATES}.")
  private Part part;

  @Option(names = "--seed", defaultValue = "0", description = "Seed of the schedule.")
  private long seed;

  @Option(names = "--folder", defaultValue = ".", description = "Folder of the run.")
  private Path folder;

  @Option(names = "--base-port", defaultValue = "18400", description = "First of 100 ports.")
  private int basePort;

  /**
   * Entry point.
   *
   * @since 0.1
   */
  public static void main(String[] args) {
    System.exit(
        new CommandLine(new FaultMain()).setCaseInsensitiveEnumValuesAllowed(true).execute(args));
  }

  @Override
  public Integer call() throws IOException, InterruptedException {
    return switch (part) {
      case PORTS -> ports();
      case PLAN -> plan();
      case DRIVE -> drive();
      case CHECK -> check();
    };
  }

  /** Prints the first of the ports of a run that no other run uses. */
  private int ports() {
    OptionalInt base = FreePorts.find(FaultSite.PORTS);
    if (base.isEmpty()) {
      System.err.println("no " + FaultSite.PORTS + " free ports in a row; remedy: end other runs");
      return FAILED;
    }
    System.out.println(base.getAsInt());
    return 0;
  }

  private int plan() throws IOException {
    new FaultSite(basePort).write(folder);
    List<FaultStep> steps = FaultPlan.of(seed);
    String text = steps.stream().map(FaultStep::toString).collect(Collectors.joining("\n"));
    Files.writeString(folder.resolve("plan.txt"), text + "\n");
    System.out.println("seed " + seed + "\n" + text);
    return 0;
  }

  /** Says in the file "start" when the schedule begins, which the launcher waits for. */
  private int drive() throws IOException, InterruptedException {
    FaultSite site = new FaultSite(basePort);
    LinkRelay relay = new LinkRelay(site);
    relay.start();
    try (HistoryWriter history = new HistoryWriter(folder.resolve("driver.jsonl"))) {
      FaultDriver driver = new FaultDriver(site, relay, history, seed);
      if (!driver.configure()) {
        System.err.println("the site took no configuration");
        return FAILED;
      }
      long start = System.currentTimeMillis();
      Path told = Files.writeString(folder.resolve("start.part"), Long.toString(start));
      Files.move(told, folder.resolve("start"));
      driver.run(FaultPlan.of(seed), start);
    }
    return 0;
  }

  private int check() throws IOException {
    List<Path> workers =
        FaultSite.DOMAINS.stream().map(d -> folder.resolve("workers-" + d + ".jsonl")).toList();
    FaultChecker checker = new FaultChecker(folder.resolve("driver.jsonl"), workers);
    List<String> violations = checker.check();
    violations.forEach(System.out::println);
    String verdict = violations.isEmpty() ? "clean" : violations.size() + " broken promises";
    System.out.println("seed " + seed + ": " + verdict + " (" + checker.summary() + ")");
    return violations.isEmpty() ? 0 : FAILED;
  }
}
