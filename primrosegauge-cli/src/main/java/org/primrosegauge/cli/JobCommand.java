package org.primrosegauge.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.HttpMethod;
import org.primrosegauge.core.CustomerId;
import org.primrosegauge.core.JobId;
import org.primrosegauge.core.PrimrosegaugeException;
import org.primrosegauge.core.job.JobPhase;
import org.primrosegauge.core.site.Adjacency;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Submits, shows and cancels jobs. */
@Command(
    name = "job",
    mixinStandardHelpOptions = true,
    description = "Submits, shows and cancels jobs.",
    footer = {
      "",
      "Examples:",
      "  primrosegauge job submit --customer price-desk --tasks 4 --accelerators 2 rebuild",
      "  primrosegauge job watch JOB"
    })
final class JobCommand extends CommandBase {

  private static final String PATH = "/v1/jobs";
  private static final long WATCH_WAIT_MILLIS = 5_000;
  private static final long POLL_MILLIS = 200;

  /** Options that describe a job. */
  static final class Description {
    @Option(names = "--customer", paramLabel = "ID", required = true, description = "Customer.")
    private String customer;

    @Option(names = "--tasks", defaultValue = "1", description = "Size of the gang.")
    private int tasks;

    @Option(names = "--accelerators", defaultValue = "1", description = "Accelerators a task.")
    private int accelerators;

    @Option(names = "--milli-cores", defaultValue = "1000", description = "Thousandths of a core.")
    private long milliCores;

    @Option(names = "--memory-mib", defaultValue = "1024", description = "Memory a task, in MiB.")
    private long memoryMib;

    @Option(names = "--adjacency", defaultValue = "domain", description = "worker, rack or domain.")
    private Adjacency adjacency;

    @Option(names = "--adjacency-required", description = "Adjacency is a condition.")
    private boolean adjacencyRequired;

    @Option(names = "--urgent", description = "Starts before others and may preempt.")
    private boolean urgent;

    @Option(names = "--not-preemptible", description = "Must not be checkpointed.")
    private boolean notPreemptible;

    @Option(names = "--not-repeatable", description = "Must run at most once.")
    private boolean notRepeatable;

    @Option(names = "--declared-millis", defaultValue = "0", description = "Declared run time.")
    private long declaredMillis;

    @Option(names = "--deadline-millis", defaultValue = "0", description = "Given up after this.")
    private long deadlineMillis;

    @Parameters(paramLabel = "COMMAND", description = "Text that the workers execute.")
    private String command;

    ObjectNode toJson() throws PrimrosegaugeException {
      return JsonNodeFactory.instance
          .objectNode()
          .put("customer", CustomerId.parse(customer, "--customer").value())
          .put("tasks", tasks)
          .put("milliCores", milliCores)
          .put("memoryMib", memoryMib)
          .put("accelerators", accelerators)
          .put("adjacency", adjacency.name())
          .put("adjacencyRequired", adjacencyRequired)
          .put("urgent", urgent)
          .put("preemptible", !notPreemptible)
          .put("repeatable", !notRepeatable)
          .put("declaredMillis", declaredMillis)
          .put("deadlineMillis", deadlineMillis)
          .put("command", command);
    }
  }

  JobCommand(CliEnvironment environment) {
    super(environment);
  }

  @Command(
      name = "submit",
      mixinStandardHelpOptions = true,
      description = "Submits a job and prints its id.")
  int submit(
      @Mixin ClientOptions client,
      @Mixin OutputOptions output,
      @Mixin Description description,
      @Option(
              names = "--idempotency-key",
              paramLabel = "KEY",
              description = "Becomes the job's id; the same key again gives the first answer.")
          String key)
      throws PrimrosegaugeException {
    String body = description.toJson().toString();
    JsonNode answer =
        client
            .client(environment())
            .send(
                HttpMethod.POST,
                PATH,
                body,
                headers -> {
                  headers.set("Content-Type", "application/json");
                  if (key != null) {
                    headers.set("Idempotency-Key", key);
                  }
                });
    output.print(answer, environment().out());
    return ExitCodes.OK;
  }

  @Command(name = "list", mixinStandardHelpOptions = true, description = "Lists the jobs.")
  int list(@Mixin ClientOptions client, @Mixin OutputOptions output) throws PrimrosegaugeException {
    output.print(client.client(environment()).get(PATH), environment().out());
    return ExitCodes.OK;
  }

  @Command(name = "show", mixinStandardHelpOptions = true, description = "Shows a job.")
  int show(
      @Mixin ClientOptions client,
      @Mixin OutputOptions output,
      @Parameters(paramLabel = "JOB") String id)
      throws PrimrosegaugeException {
    output.print(client.client(environment()).get(pathOf(id)), environment().out());
    return ExitCodes.OK;
  }

  @Command(name = "cancel", mixinStandardHelpOptions = true, description = "Cancels a job.")
  int cancel(
      @Mixin ClientOptions client,
      @Mixin OutputOptions output,
      @Parameters(paramLabel = "JOB") String id)
      throws PrimrosegaugeException {
    output.print(client.client(environment()).delete(pathOf(id)), environment().out());
    return ExitCodes.OK;
  }

  @Command(
      name = "watch",
      mixinStandardHelpOptions = true,
      description = "Shows each phase of a job until its final answer.")
  int watch(
      @Mixin ClientOptions client,
      @Mixin OutputOptions output,
      @Parameters(paramLabel = "JOB") String id)
      throws PrimrosegaugeException {
    ApiClient api = client.client(environment());
    String path = pathOf(id);
    JsonNode job = api.get(path);
    JobPhase shown = null;
    while (true) {
      JobPhase phase = phaseOf(job);
      if (phase != shown) {
        environment()
            .err()
            .println("attempt " + job.path("attempt").asInt() + ": " + job.path("phase").asText());
        environment().err().flush();
        shown = phase;
      }
      if (phase.isFinal()) {
        output.print(job, environment().out());
        return exitCodeOf(phase);
      }
      environment().pauseMillis().accept(POLL_MILLIS);
      job = api.get(path + "?waitMillis=" + WATCH_WAIT_MILLIS);
    }
  }

  private static String pathOf(String id) throws PrimrosegaugeException {
    return PATH + "/" + JobId.parse(id, "JOB").value();
  }

  private static JobPhase phaseOf(JsonNode job) throws ApiProblemException {
    try {
      return JobPhase.valueOf(job.path("phase").asText());
    } catch (IllegalArgumentException e) {
      throw new ApiProblemException(
          org.primrosegauge.core.ErrorKind.OUTCOME_UNKNOWN,
          "the answer names no known phase",
          "use a command line of the same release as the instance",
          "unknown",
          "");
    }
  }

  private static int exitCodeOf(JobPhase phase) {
    return switch (phase) {
      case SUCCEEDED -> ExitCodes.OK;
      case OUTCOME_UNKNOWN -> ExitCodes.OUTCOME_UNKNOWN;
      default -> ExitCodes.JOB_FAILED;
    };
  }
}
