package org.primrosegauge.cli;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.handler.codec.http.HttpMethod;
import java.nio.file.Path;
import java.util.UUID;
import org.primrosegauge.core.PrimrosegaugeException;
import org.primrosegauge.core.site.SiteConfiguration;
import org.primrosegauge.wire.toml.SiteTomlReader;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Checks, shows and changes the configuration of the site. */
@Command(
    name = "config",
    mixinStandardHelpOptions = true,
    description = "Checks, shows and changes the configuration of the site.")
final class ConfigCommand extends CommandBase {

  private static final String PATH = "/v1/configuration";
  private static final long POLL_MILLIS = 200;
  private static final long MILLIS_PER_SECOND = 1_000;

  ConfigCommand(CliEnvironment environment) {
    super(environment);
  }

  @Command(
      name = "check",
      mixinStandardHelpOptions = true,
      description = "Checks a file and names all its faults; needs no instance.")
  int check(@Parameters(paramLabel = "FILE") Path file) throws PrimrosegaugeException {
    SiteConfiguration site = readSite(file);
    environment()
        .out()
        .printf(
            "%s: no faults; %d failure domains, %d customers, %d guarantees, %d services%n",
            file,
            site.failureDomains().size(),
            site.customers().size(),
            site.guarantees().size(),
            site.services().size());
    environment().out().flush();
    return ExitCodes.OK;
  }

  @Command(
      name = "print",
      mixinStandardHelpOptions = true,
      description = "Prints the accepted configuration as TOML.")
  int print(@Mixin ClientOptions client, @Mixin OutputOptions output)
      throws PrimrosegaugeException {
    JsonNode answer = client.client(environment()).get(PATH);
    if (output.isJson()) {
      output.print(answer, environment().out());
    } else {
      environment().out().print(answer.path("toml").asText());
      environment().out().flush();
    }
    return ExitCodes.OK;
  }

  @Command(
      name = "history",
      mixinStandardHelpOptions = true,
      description = "Lists the accepted revisions, newest first.")
  int history(@Mixin ClientOptions client, @Mixin OutputOptions output)
      throws PrimrosegaugeException {
    output.print(client.client(environment()).get(PATH + "/history"), environment().out());
    return ExitCodes.OK;
  }

  @Command(
      name = "apply",
      mixinStandardHelpOptions = true,
      description = "Checks a file and hands it to the site.",
      footer = {
        "",
        "The change names the revision that it replaces: a change that another operator made in",
        "between is never overwritten (exit code 4). After a lost answer, run it again with the",
        "same --request-id: the site gives its first answer."
      })
  int apply(
      @Mixin ClientOptions client,
      @Mixin OutputOptions output,
      @Parameters(paramLabel = "FILE") Path file,
      @Option(
              names = "--expected-revision",
              paramLabel = "N",
              description = "Revision to replace; the present one by default.")
          Long expected,
      @Option(names = "--request-id", paramLabel = "ID", description = "Made when not given.")
          String requestId,
      @Option(
              names = "--wait-seconds",
              paramLabel = "N",
              defaultValue = "0",
              description = "Longest wait until it is in force everywhere; 0 does not wait.")
          int waitSeconds)
      throws PrimrosegaugeException {
    String text = readText(file);
    SiteTomlReader.read(file.toString(), text);
    ApiClient api = client.client(environment());
    String id = requestId == null ? UUID.randomUUID().toString() : requestId;
    environment().err().println("request id: " + id);
    long replaced = expected == null ? api.get(PATH).path("revision").asLong() : expected;
    JsonNode answer = put(api, text, replaced, id);
    JsonNode last = waitUntilInForce(api, answer, waitSeconds * MILLIS_PER_SECOND);
    output.print(last, environment().out());
    return waitSeconds == 0 || isInForce(last) ? ExitCodes.OK : ExitCodes.NOT_IN_FORCE;
  }

  private static JsonNode put(ApiClient api, String text, long replaced, String requestId)
      throws PrimrosegaugeException {
    return api.send(
        HttpMethod.PUT,
        PATH,
        text,
        headers ->
            headers
                .set("Content-Type", "application/toml")
                .set("Primrosegauge-Expected-Revision", Long.toString(replaced))
                .set("Primrosegauge-Request-Id", requestId));
  }

  private JsonNode waitUntilInForce(ApiClient api, JsonNode first, long mostMillis)
      throws PrimrosegaugeException {
    long end = environment().nowMillis().getAsLong() + mostMillis;
    long revision = first.path("revision").asLong();
    JsonNode last = first;
    while (!isInForce(last) && environment().nowMillis().getAsLong() < end) {
      report(last);
      environment().pauseMillis().accept(POLL_MILLIS);
      last = withoutText(api.get(PATH));
      if (last.path("revision").asLong() > revision) {
        environment().err().println("replaced by revision " + last.path("revision").asLong());
        return last;
      }
    }
    return last;
  }

  private void report(JsonNode answer) {
    for (JsonNode place : answer.path("notInForceIn")) {
      environment().err().println("not yet in force: " + placeText(place));
    }
    environment().err().flush();
  }

  private static String placeText(JsonNode place) {
    return place.isObject()
        ? place.path("instance").asText() + " (" + place.path("reason").asText() + ")"
        : place.asText();
  }

  private static JsonNode withoutText(JsonNode answer) {
    if (answer instanceof com.fasterxml.jackson.databind.node.ObjectNode object) {
      object.remove("toml");
    }
    return answer;
  }

  private static boolean isInForce(JsonNode answer) {
    return answer.path("state").asText().equals("in-force");
  }
}
