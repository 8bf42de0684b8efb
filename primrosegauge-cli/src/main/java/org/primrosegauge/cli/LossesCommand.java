package org.primrosegauge.cli;

import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.primrosegauge.cli.explain.LogReader;
import org.primrosegauge.cli.losses.HtmlReport;
import org.primrosegauge.cli.losses.JobTimeline;
import org.primrosegauge.cli.losses.LossReport;
import org.primrosegauge.cli.losses.MarkdownReport;
import org.primrosegauge.core.InvalidInputException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Reports from logs what the jobs that missed their objective spent their time on. */
@Command(
    name = "losses",
    mixinStandardHelpOptions = true,
    description = {
      "Reports from log lines what the jobs that missed their objective spent their time on: by",
      "reason, queue, customer, failure domain and time of the first call. The objective follows",
      "from the job's slack and the run times that the log shows.",
      "Reads the files, each the log of one process, or standard input, as explain does."
    })
final class LossesCommand extends CommandBase {

  /** Form of the report. */
  private enum Format {
    MARKDOWN,
    HTML
  }

  @Parameters(arity = "0..*", description = "Log files; standard input if none.")
  private List<Path> files = List.of();

  @Option(names = "--job", paramLabel = "ID", description = "Prints the timeline of one job.")
  private String job;

  @Option(
      names = "--format",
      defaultValue = "MARKDOWN",
      description = "Form of the report: ${COMPLETION-CANDIDATES}; by default ${DEFAULT-VALUE}.")
  private Format format;

  @Option(
      names = "--window-millis",
      defaultValue = "2000",
      description = "Length of the windows of time, by default ${DEFAULT-VALUE}.")
  private long windowMillis;

  LossesCommand(CliEnvironment environment) {
    super(environment);
  }

  @Override
  public Integer call() throws InvalidInputException, IOException {
    if (windowMillis < 1) {
      throw new InvalidInputException(
          "the window is too short", "give 1 or more milliseconds", "--window-millis");
    }
    LogReader reader = new LogReader();
    if (files.isEmpty()) {
      reader.read("stdin", new InputStreamReader(System.in, StandardCharsets.UTF_8));
    }
    for (Path file : files) {
      readLog(reader, file);
    }
    LossReport report = LossReport.of(reader.lines(), windowMillis, reader.unreadable());
    PrintWriter out = environment().out();
    if (job != null) {
      return printJob(report, out);
    }
    out.print(format == Format.HTML ? HtmlReport.of(report) : MarkdownReport.of(report));
    out.flush();
    return ExitCodes.OK;
  }

  private int printJob(LossReport report, PrintWriter out) {
    Optional<JobTimeline> found =
        report.timelines().stream().filter(each -> each.job().equals(job)).findFirst();
    if (found.isEmpty()) {
      environment()
          .err()
          .printf("no line names job %s; remedy: add the logs of more processes%n", job);
      return ExitCodes.NOT_FOUND;
    }
    out.print(MarkdownReport.ofJob(found.get()));
    out.flush();
    return ExitCodes.OK;
  }
}
