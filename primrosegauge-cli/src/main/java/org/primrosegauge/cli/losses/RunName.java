package org.primrosegauge.cli.losses;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Parts of the name of a run, {@code JOB.OCCURRENCE.STEP.TASK#ATTEMPT}.
 *
 * @param occurrence number of the occurrence
 * @param step number of the step
 * @param task number of the task within the step
 * @param attempt number of the attempt
 */
record RunName(int occurrence, int step, int task, int attempt) {

  private static final Pattern SHAPE =
      Pattern.compile("\\S+?\\.(\\d{1,9})\\.(\\d{1,9})\\.(\\d{1,9})#(\\d{1,9})");

  static Optional<RunName> parse(String text) {
    Matcher found = SHAPE.matcher(text);
    return found.matches()
        ? Optional.of(
            new RunName(
                Integer.parseInt(found.group(1)),
                Integer.parseInt(found.group(2)),
                Integer.parseInt(found.group(3)),
                Integer.parseInt(found.group(4))))
        : Optional.empty();
  }
}
