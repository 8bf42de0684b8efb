package org.primrosegauge.cli;

import java.io.PrintWriter;
import org.primrosegauge.core.PrimrosegaugeException;
import org.primrosegauge.core.settings.SettingsException;
import picocli.AutoComplete;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.IFactory;

/**
 * The command {@code primrosegauge}.
 *
 * @since 0.1
 */
@Command(
    name = "primrosegauge",
    mixinStandardHelpOptions = true,
    version = "primrosegauge 0.1",
    description = "Scheduler for multi-accelerator jobs under customer guarantees.",
    subcommands = {
      ServeCommand.class,
      StatusCommand.class,
      ConfigCommand.class,
      CustomerCommand.class,
      GuaranteeCommand.class,
      DomainCommand.class,
      TargetCommand.class,
      InstanceCommand.class,
      JobCommand.class,
      RequestCommand.class,
      ExplainCommand.class,
      LossesCommand.class,
      AutoComplete.GenerateCompletion.class
    },
    footer = {
      "",
      "Examples:",
      "  primrosegauge serve --settings config/instance.toml",
      "  primrosegauge config check examples/lakeshore.toml",
      "  primrosegauge config apply --wait-seconds 10 examples/lakeshore.toml",
      "  primrosegauge domain out --work checkpoint lakes-west",
      "  primrosegauge job submit --customer price-desk --tasks 4 --accelerators 2 rebuild",
      "  primrosegauge request --customer price-desk --service bulletin-svc 'prices of urea'",
      "  primrosegauge explain 5c0e7a21d94b36f8 entry-1.log ledger-1.log ledger-2.log",
      "  primrosegauge losses --format html entry-1.log ledger-1.log > losses.html",
      "",
      "Exit codes:",
      "  0 done, 1 faults in the input, 2 wrong command line, 3 not found, 4 conflict,",
      "  5 not allowed, 6 nothing done and trying again helps, 7 outcome unknown,",
      "  8 not yet in force everywhere, 9 the job did not succeed, 70 internal fault,",
      "  75 serve stopped before the work in flight was finished"
    })
public final class PrimrosegaugeCommand extends CommandBase {

  PrimrosegaugeCommand(CliEnvironment environment) {
    super(environment);
  }

  /**
   * Runs one command line.
   *
   * @return exit code, see {@link ExitCodes}
   * @since 0.1
   */
  public static int execute(CliEnvironment environment, String... arguments) {
    return new CommandLine(new PrimrosegaugeCommand(environment), factory(environment))
        .setOut(environment.out())
        .setErr(environment.err())
        .setCaseInsensitiveEnumValuesAllowed(true)
        .setExecutionExceptionHandler((error, line, parsed) -> explain(error, environment.err()))
        .execute(arguments);
  }

  private static IFactory factory(CliEnvironment environment) {
    IFactory standard = CommandLine.defaultFactory();
    return new IFactory() {
      @Override
      public <K> K create(Class<K> type) throws Exception {
        if (CommandBase.class.isAssignableFrom(type)) {
          return type.getDeclaredConstructor(CliEnvironment.class).newInstance(environment);
        }
        return standard.create(type);
      }
    };
  }

  private static int explain(Exception error, PrintWriter err) {
    if (error instanceof SettingsException settings) {
      settings.faults().forEach(err::println);
      err.flush();
      return ExitCodes.INVALID;
    }
    if (error instanceof PrimrosegaugeException known) {
      err.println(known.kind().label() + ": " + known.getMessage());
      if (known instanceof ApiProblemException problem) {
        explainProblem(problem, err);
      }
      err.flush();
      return ExitCodes.of(known.kind());
    }
    err.println("internal: " + error + "; remedy: report this");
    err.flush();
    return ExitCodes.INTERNAL;
  }

  private static void explainProblem(ApiProblemException problem, PrintWriter err) {
    err.println("execution: " + problem.execution());
    if (!problem.retryAfter().isEmpty()) {
      err.println("come back after: " + problem.retryAfter() + " s");
    }
  }
}
