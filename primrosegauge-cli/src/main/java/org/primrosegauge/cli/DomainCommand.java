package org.primrosegauge.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.HttpMethod;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.NotFoundException;
import org.primrosegauge.core.PrimrosegaugeException;
import org.primrosegauge.core.site.DomainSwitch.RunningWorkPolicy;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Takes failure domains out of service and back. */
@Command(
    name = "domain",
    mixinStandardHelpOptions = true,
    description = "Takes failure domains out of service and back.",
    footer = {
      "",
      "Examples:",
      "  primrosegauge domain out --work checkpoint --wait-seconds 60 klang",
      "  primrosegauge domain in klang"
    })
final class DomainCommand extends CommandBase {

  private static final String PATH = "/v1/domains";
  private static final long POLL_MILLIS = 500;
  private static final long MILLIS_PER_SECOND = 1_000;

  /** Options of an order. */
  static final class Order {
    @Parameters(paramLabel = "ID", description = "Failure domain.")
    private String id;

    @Option(
        names = "--revision",
        paramLabel = "N",
        description = "Revision of the order; the one after the present by default.")
    private Long revision;

    @Option(
        names = "--wait-seconds",
        paramLabel = "N",
        defaultValue = "0",
        description = "Longest wait until it is in force and, for out, no task runs.")
    private int waitSeconds;
  }

  DomainCommand(CliEnvironment environment) {
    super(environment);
  }

  @Command(
      name = "list",
      mixinStandardHelpOptions = true,
      description = "Lists the failure domains.")
  int list(@Mixin ClientOptions client, @Mixin OutputOptions output) throws PrimrosegaugeException {
    output.print(client.client(environment()).get(PATH), environment().out());
    return ExitCodes.OK;
  }

  @Command(
      name = "out",
      mixinStandardHelpOptions = true,
      description = "Takes a failure domain out: nothing starts in it.")
  int out(
      @Mixin ClientOptions client,
      @Mixin OutputOptions output,
      @Mixin Order order,
      @Option(
              names = "--work",
              defaultValue = "finish",
              description = "What happens to running work: finish, checkpoint or stop.")
          RunningWorkPolicy work)
      throws PrimrosegaugeException {
    return turn(client, output, order, true, work);
  }

  @Command(
      name = "in",
      mixinStandardHelpOptions = true,
      description = "Takes a failure domain back into service.")
  int in(@Mixin ClientOptions client, @Mixin OutputOptions output, @Mixin Order order)
      throws PrimrosegaugeException {
    return turn(client, output, order, false, RunningWorkPolicy.FINISH);
  }

  private int turn(
      ClientOptions client, OutputOptions output, Order order, boolean out, RunningWorkPolicy work)
      throws PrimrosegaugeException {
    ApiClient api = client.client(environment());
    FailureDomainId domain = FailureDomainId.parse(order.id, "ID");
    long revision =
        order.revision == null ? find(api, domain).path("revision").asLong() + 1 : order.revision;
    ObjectNode body = JsonNodeFactory.instance.objectNode();
    body.put("out", out).put("work", work.name()).put("revision", revision);
    JsonNode answer =
        api.send(
            HttpMethod.PUT,
            PATH + "/" + domain,
            body.toString(),
            headers -> headers.set("Content-Type", "application/json"));
    output.print(answer, environment().out());
    if (order.waitSeconds == 0) {
      return ExitCodes.OK;
    }
    return waitUntilDone(api, domain, out, order.waitSeconds * MILLIS_PER_SECOND)
        ? ExitCodes.OK
        : ExitCodes.NOT_IN_FORCE;
  }

  private boolean waitUntilDone(ApiClient api, FailureDomainId domain, boolean out, long mostMillis)
      throws PrimrosegaugeException {
    long end = environment().nowMillis().getAsLong() + mostMillis;
    while (true) {
      JsonNode state = find(api, domain);
      boolean inForce = state.path("state").asText().equals("in-force");
      long running = state.path("runningTasks").asLong();
      environment()
          .err()
          .println(
              domain
                  + (inForce ? ": in force, " : ": not yet in force, ")
                  + running
                  + " tasks running"
                  + (state.path("reason").isTextual()
                      ? " (" + state.path("reason").asText() + ")"
                      : ""));
      environment().err().flush();
      if (inForce && (!out || running == 0)) {
        return true;
      }
      if (environment().nowMillis().getAsLong() >= end) {
        return false;
      }
      environment().pauseMillis().accept(POLL_MILLIS);
    }
  }

  private static JsonNode find(ApiClient api, FailureDomainId domain)
      throws PrimrosegaugeException {
    for (JsonNode each : api.get(PATH).path("domains")) {
      if (each.path("id").asText().equals(domain.value())) {
        return each;
      }
    }
    throw new NotFoundException(
        "no failure domain '" + domain + "'", "use an id that domain list shows", "");
  }
}
