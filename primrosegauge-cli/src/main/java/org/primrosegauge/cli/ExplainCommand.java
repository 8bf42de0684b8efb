package org.primrosegauge.cli;

import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import org.primrosegauge.cli.explain.Causes;
import org.primrosegauge.cli.explain.LogLine;
import org.primrosegauge.cli.explain.LogReader;
import org.primrosegauge.cli.explain.Story;
import org.primrosegauge.core.InvalidInputException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Tells the story of a job from the logs of many processes. */
@Command(
    name = "explain",
    mixinStandardHelpOptions = true,
    description = {
      "Tells the story of a job from log lines, in order of time, and names the likely cause.",
      "Reads the files, each the log of one process, or standard input. Words before the JSON of",
      "a line are taken for a prefix, the last of them for the name of the process."
    })
final class ExplainCommand extends CommandBase {

  @Parameters(index = "0", description = "Id of the job.")
  private String job;

  @Parameters(index = "1..*", arity = "0..*", description = "Log files; standard input if none.")
  private List<Path> files = List.of();

  ExplainCommand(CliEnvironment environment) {
    super(environment);
  }

  @Override
  public Integer call() throws InvalidInputException, IOException {
    LogReader reader = new LogReader();
    if (files.isEmpty()) {
      reader.read("stdin", new InputStreamReader(System.in, StandardCharsets.UTF_8));
    }
    for (Path file : files) {
      readLog(reader, file);
    }
    Story story = Story.of(job, reader.lines());
    print(story, reader.unreadable());
    return story.lines().isEmpty() ? ExitCodes.NOT_FOUND : ExitCodes.OK;
  }

  private void print(Story story, int unreadable) {
    final PrintWriter out = environment().out();
    PrintWriter err = environment().err();
    for (Map.Entry<String, Long> each : story.clocks().differing().entrySet()) {
      err.printf("the clock of %s differs by %d ms; corrected%n", each.getKey(), each.getValue());
    }
    if (unreadable > 0) {
      err.printf("%d lines hold no JSON with a time; left out%n", unreadable);
    }
    if (story.lines().isEmpty()) {
      err.printf("no line names job %s; remedy: add the logs of more processes%n", job);
      return;
    }
    for (LogLine line : story.lines()) {
      Instant at = Instant.ofEpochMilli(story.clocks().commonMillis(line));
      out.printf("%s  %-28s %s%n", at, line.source(), line.message());
    }
    List<String> causes = Causes.of(story);
    out.println(causes.isEmpty() ? "nothing out of the ordinary" : "likely causes:");
    causes.forEach(cause -> out.println("- " + cause));
    out.flush();
  }
}
