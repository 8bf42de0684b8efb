package org.primrosegauge.cli;

import java.nio.file.Path;
import org.primrosegauge.core.PrimrosegaugeException;
import org.primrosegauge.node.cfg.NodeSettings;
import org.primrosegauge.node.cfg.NodeSettingsReader;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs an instance. */
@Command(
    name = "serve",
    mixinStandardHelpOptions = true,
    description = "Runs an instance until it is stopped.")
final class ServeCommand extends CommandBase {

  @Option(
      names = "--settings",
      paramLabel = "FILE",
      required = true,
      description = "Settings of the instance, see docs/SETTINGS.md.")
  private Path settings;

  @Option(names = "--check", description = "Only checks the settings.")
  private boolean checkOnly;

  ServeCommand(CliEnvironment environment) {
    super(environment);
  }

  @Override
  public Integer call() throws PrimrosegaugeException {
    NodeSettings read = NodeSettingsReader.read(settings);
    if (checkOnly) {
      return ExitCodes.OK;
    }
    return environment().daemon().run(read);
  }
}
