package org.primrosegauge.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import picocli.CommandLine.Option;

/** The form in which a command prints a JSON answer. */
final class OutputOptions {

  private static final String COLUMN_GAP = "  ";

  /** Forms of output. */
  enum Form {
    /** Columns for people. */
    TABLE,
    /** The answer as it came, for programs. */
    JSON
  }

  @Option(
      names = "--output",
      paramLabel = "FORM",
      defaultValue = "table",
      description = "table or json; ${DEFAULT-VALUE} by default.")
  private Form form;

  boolean isJson() {
    return form == Form.JSON;
  }

  void print(JsonNode answer, PrintWriter out) {
    if (isJson()) {
      out.println(answer.toPrettyString());
    } else {
      printTable(answer, out);
    }
    out.flush();
  }

  private static void printTable(JsonNode answer, PrintWriter out) {
    if (answer.isArray()) {
      printRows(answer, out);
      return;
    }
    for (Map.Entry<String, JsonNode> field : answer.properties()) {
      if (field.getValue().isArray() && isRows(field.getValue())) {
        out.println(field.getKey() + ":");
        printRows(field.getValue(), out);
      } else {
        out.println(field.getKey() + ": " + text(field.getValue()));
      }
    }
  }

  private static boolean isRows(JsonNode array) {
    return !array.isEmpty() && array.get(0).isObject();
  }

  private static void printRows(JsonNode rows, PrintWriter out) {
    Set<String> columns = new LinkedHashSet<>();
    rows.forEach(row -> row.fieldNames().forEachRemaining(columns::add));
    List<List<String>> lines = new ArrayList<>();
    lines.add(columns.stream().map(column -> column.toUpperCase(java.util.Locale.ROOT)).toList());
    for (JsonNode row : rows) {
      lines.add(columns.stream().map(column -> text(row.path(column))).toList());
    }
    lines.forEach(line -> out.println(aligned(line, lines)));
  }

  private static String aligned(List<String> line, List<List<String>> all) {
    StringBuilder text = new StringBuilder();
    for (int column = 0; column < line.size(); column++) {
      int index = column;
      int width = all.stream().mapToInt(each -> each.get(index).length()).max().orElse(0);
      text.append(line.get(column)).append(" ".repeat(width - line.get(column).length()));
      text.append(COLUMN_GAP);
    }
    return text.toString().stripTrailing();
  }

  private static String text(JsonNode value) {
    return value.isValueNode() ? value.asText() : value.isMissingNode() ? "" : value.toString();
  }
}
