package org.primrosegauge.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;
import org.primrosegauge.core.InvalidInputException;
import picocli.CommandLine.Option;

/** Options of every command that talks to an instance. */
final class ClientOptions {

  static final String ENDPOINT_VARIABLE = "PRIMROSEGAUGE_ENDPOINT";
  static final String TOKEN_VARIABLE = "PRIMROSEGAUGE_TOKEN";

  private static final String DEFAULT_ENDPOINT = "http://127.0.0.1:7300";

  @Option(
      names = "--endpoint",
      paramLabel = "URL",
      description =
          "Any instance of the site; $" + ENDPOINT_VARIABLE + ", else " + DEFAULT_ENDPOINT + ".")
  private String endpoint;

  @Option(
      names = "--token-file",
      paramLabel = "FILE",
      description = "File that holds the token; else $" + TOKEN_VARIABLE + ".")
  private Path tokenFile;

  @Option(
      names = "--trust",
      paramLabel = "FILE",
      description = "Certificates (PEM) that the instance is checked against.")
  private Path trust;

  @Option(
      names = "--timeout-seconds",
      paramLabel = "N",
      defaultValue = "15",
      description = "Longest wait for one answer; ${DEFAULT-VALUE} by default.")
  private int timeoutSeconds;

  ApiClient client(CliEnvironment environment) throws InvalidInputException {
    String fromVariable = environment.variables().apply(ENDPOINT_VARIABLE);
    String fallback = fromVariable == null ? DEFAULT_ENDPOINT : fromVariable;
    return new ApiClient(
        endpoint == null ? fallback : endpoint,
        token(environment),
        Optional.ofNullable(trust),
        Duration.ofSeconds(timeoutSeconds));
  }

  private String token(CliEnvironment environment) throws InvalidInputException {
    if (tokenFile == null) {
      return Optional.ofNullable(environment.variables().apply(TOKEN_VARIABLE)).orElse("");
    }
    try {
      return Files.readString(tokenFile).strip();
    } catch (IOException e) {
      throw new InvalidInputException(
          "the token cannot be read", "name a readable file", tokenFile.toString(), e);
    }
  }
}
