package org.primrosegauge.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.primrosegauge.core.InvalidInputException;
import org.primrosegauge.core.settings.SettingsException;
import org.primrosegauge.core.site.SiteConfiguration;
import org.primrosegauge.wire.toml.SiteTomlReader;
import org.primrosegauge.wire.toml.SiteTomlWriter;
import picocli.CommandLine.Option;

/** The file that a command edits. */
final class SiteFileOptions {

  @Option(
      names = "--file",
      paramLabel = "FILE",
      required = true,
      description = "Configuration of the site.")
  private Path file;

  @Option(names = "--in-place", description = "Writes the file instead of printing the result.")
  private boolean inPlace;

  SiteConfiguration read() throws InvalidInputException, SettingsException {
    return CommandBase.readSite(file);
  }

  /** Checks the edited configuration whole, then prints or writes it. */
  int finish(SiteConfiguration edited, CliEnvironment environment)
      throws InvalidInputException, SettingsException {
    String text = SiteTomlWriter.write(edited);
    SiteTomlReader.read("result", text);
    if (inPlace) {
      write(text);
    } else {
      environment.out().print(text);
      environment.out().flush();
    }
    return ExitCodes.OK;
  }

  String name() {
    return file.toString();
  }

  private void write(String text) throws InvalidInputException {
    try {
      Files.writeString(file, text);
    } catch (IOException e) {
      throw new InvalidInputException(
          "the file cannot be written", "name a writable file", file.toString(), e);
    }
  }
}
