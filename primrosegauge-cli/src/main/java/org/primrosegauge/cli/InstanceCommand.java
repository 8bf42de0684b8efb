package org.primrosegauge.cli;

import org.primrosegauge.core.PrimrosegaugeException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Shows the instances of the site. */
@Command(
    name = "instance",
    mixinStandardHelpOptions = true,
    description = "Shows the instances of the site.")
final class InstanceCommand extends CommandBase {

  InstanceCommand(CliEnvironment environment) {
    super(environment);
  }

  @Command(
      name = "list",
      mixinStandardHelpOptions = true,
      description = "Lists the instances with the revision in force in each.")
  int list(@Mixin ClientOptions client, @Mixin OutputOptions output) throws PrimrosegaugeException {
    output.print(client.client(environment()).get("/v1/instances"), environment().out());
    return ExitCodes.OK;
  }
}
