package org.primrosegauge.cli;

import org.primrosegauge.core.PrimrosegaugeException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Shows the state of the site as one instance sees it. */
@Command(
    name = "status",
    mixinStandardHelpOptions = true,
    description = "Shows the state of the site as one instance sees it.")
final class StatusCommand extends CommandBase {

  @Mixin private ClientOptions client;
  @Mixin private OutputOptions output;

  StatusCommand(CliEnvironment environment) {
    super(environment);
  }

  @Override
  public Integer call() throws PrimrosegaugeException {
    output.print(client.client(environment()).get("/v1/status"), environment().out());
    return ExitCodes.OK;
  }
}
