package org.primrosegauge.cli;

import io.netty.handler.codec.http.HttpMethod;
import org.primrosegauge.core.CustomerId;
import org.primrosegauge.core.PrimrosegaugeException;
import org.primrosegauge.core.ServiceId;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Sends one service request and prints the body of its answer. */
@Command(
    name = "request",
    mixinStandardHelpOptions = true,
    description = "Sends one service request and prints the body of its answer.")
final class RequestCommand extends CommandBase {

  @Mixin private ClientOptions client;

  @Option(names = "--customer", paramLabel = "ID", required = true, description = "Customer.")
  private String customer;

  @Option(names = "--service", paramLabel = "ID", required = true, description = "Service.")
  private String service;

  @Option(
      names = "--idempotency-key",
      paramLabel = "KEY",
      description = "The same key again does not run the work again.")
  private String key;

  @Option(names = "--not-repeatable", description = "Must run at most once.")
  private boolean notRepeatable;

  @Parameters(paramLabel = "BODY", description = "Body of the request.")
  private String body;

  RequestCommand(CliEnvironment environment) {
    super(environment);
  }

  @Override
  public Integer call() throws PrimrosegaugeException {
    String path = "/v1/services/" + ServiceId.parse(service, "--service") + "/requests";
    String caller = CustomerId.parse(customer, "--customer").value();
    String answer =
        client
            .client(environment())
            .text(
                HttpMethod.POST,
                path,
                body,
                headers -> {
                  headers.set("Primrosegauge-Customer", caller);
                  headers.set("Primrosegauge-Repeatable", Boolean.toString(!notRepeatable));
                  if (key != null) {
                    headers.set("Idempotency-Key", key);
                  }
                });
    environment().out().println(answer);
    return ExitCodes.OK;
  }
}
