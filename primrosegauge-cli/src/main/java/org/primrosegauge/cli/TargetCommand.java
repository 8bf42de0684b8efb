package org.primrosegauge.cli;

import org.primrosegauge.core.PrimrosegaugeException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Shows workers and executors. */
@Command(
    name = "target",
    mixinStandardHelpOptions = true,
    description = "Shows workers and executors.")
final class TargetCommand extends CommandBase {

  TargetCommand(CliEnvironment environment) {
    super(environment);
  }

  @Command(
      name = "list",
      mixinStandardHelpOptions = true,
      description = "Lists the targets whose lease runs.")
  int list(@Mixin ClientOptions client, @Mixin OutputOptions output) throws PrimrosegaugeException {
    output.print(client.client(environment()).get("/v1/targets"), environment().out());
    return ExitCodes.OK;
  }
}
