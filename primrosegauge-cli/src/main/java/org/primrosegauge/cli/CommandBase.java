package org.primrosegauge.cli;

import java.io.IOException;
import java.io.Reader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.primrosegauge.cli.explain.LogReader;
import org.primrosegauge.core.InvalidInputException;
import org.primrosegauge.core.settings.SettingsException;
import org.primrosegauge.core.site.SiteConfiguration;
import org.primrosegauge.wire.toml.SiteTomlReader;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** What the commands share: their environment, and a refusal when a subcommand is missing. */
abstract class CommandBase implements Callable<Integer> {

  @Spec private CommandSpec spec;

  private final CliEnvironment environment;

  CommandBase(CliEnvironment environment) {
    this.environment = environment;
  }

  /** Runs when no subcommand is given. */
  @Override
  public Integer call() throws Exception {
    throw new ParameterException(spec.commandLine(), "Missing subcommand");
  }

  final CliEnvironment environment() {
    return environment;
  }

  static String readText(Path file) throws InvalidInputException {
    try {
      return Files.readString(file);
    } catch (IOException e) {
      throw new InvalidInputException(
          "the file cannot be read", "name a readable file of UTF-8 text", file.toString(), e);
    }
  }

  /** Reads the log of one process; the name of the file names the process. */
  static void readLog(LogReader reader, Path file) throws InvalidInputException {
    try (Reader text = Files.newBufferedReader(file)) {
      reader.read(file.getFileName().toString(), text);
    } catch (IOException e) {
      throw new InvalidInputException(
          "the log cannot be read", "name a readable file of UTF-8 text", file.toString(), e);
    }
  }

  static SiteConfiguration readSite(Path file) throws InvalidInputException, SettingsException {
    return SiteTomlReader.read(file.toString(), readText(file));
  }
}
