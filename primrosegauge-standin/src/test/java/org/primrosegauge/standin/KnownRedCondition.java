package org.primrosegauge.standin;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.extension.ConditionEvaluationResult;
import org.junit.jupiter.api.extension.ExecutionCondition;
import org.junit.jupiter.api.extension.ExtensionContext;

/**
 * Passes over exactly the tests that {@code KNOWN-RED.txt} at the root names, and prints them. With
 * the property {@code known-red.run} they run like all others.
 *
 * <p>Found by JUnit through its service file; no test names it.
 */
public final class KnownRedCondition implements ExecutionCondition {

  private static final String FILE = "KNOWN-RED.txt";
  private static final String ENTRY = "test: ";
  private static final boolean RUNS_ALL = Boolean.getBoolean("known-red.run");

  /** Creates the condition. */
  public KnownRedCondition() {}

  @Override
  public ConditionEvaluationResult evaluateExecutionCondition(ExtensionContext context) {
    String name =
        context
            .getTestMethod()
            .map(method -> method.getDeclaringClass().getName() + "#" + method.getName())
            .orElse("");
    if (RUNS_ALL || !names().contains(name)) {
      return ConditionEvaluationResult.enabled("not listed in " + FILE);
    }
    System.out.println("KNOWN-RED, passed over: " + name);
    return ConditionEvaluationResult.disabled("listed in " + FILE);
  }

  /** Returns the tests that are listed, each as the name of its class, "#" and its name. */
  static List<String> names() {
    try {
      return Files.readAllLines(file()).stream()
          .filter(line -> line.startsWith(ENTRY))
          .map(line -> line.substring(ENTRY.length()).strip())
          .toList();
    } catch (IOException error) {
      throw new UncheckedIOException(error);
    }
  }

  private static Path file() {
    Path folder = Path.of("").toAbsolutePath();
    while (folder != null && !Files.exists(folder.resolve(FILE))) {
      folder = folder.getParent();
    }
    if (folder == null) {
      throw new IllegalStateException("no " + FILE + " above the present folder");
    }
    return folder.resolve(FILE);
  }
}
