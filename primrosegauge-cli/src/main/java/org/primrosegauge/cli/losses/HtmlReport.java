package org.primrosegauge.cli.losses;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import org.primrosegauge.wire.WireMappers;

/**
 * Writes a {@link LossReport} as one HTML page that holds its charts and the library that draws
 * them, so that it can be opened without a network.
 *
 * <p>Stateless.
 *
 * @since 0.4
 */
public final class HtmlReport {

  private static final ObjectMapper JSON = WireMappers.json();
  private static final String TEMPLATE = "losses.html";
  private static final String CHART_LIBRARY =
      "/META-INF/resources/webjars/chart.js/4.4.9/dist/chart.umd.js";
  private static final double MILLIS_PER_SECOND = 1_000;

  private HtmlReport() {}

  /**
   * Returns the page.
   *
   * @throws IOException if a resource of this program cannot be read
   * @since 0.4
   */
  public static String of(LossReport report) throws IOException {
    ArrayNode charts = JSON.createArrayNode();
    charts.add(reasonChart(report));
    charts.add(groupChart("Missed jobs by time of their first call, s", report.byWindow()));
    charts.add(groupChart("Missed jobs by queue", report.byQueue()));
    charts.add(groupChart("Missed jobs by customer", report.byCustomer()));
    charts.add(groupChart("Missed jobs by failure domain of the last run", report.byDomain()));
    return resource(TEMPLATE)
        .replace("${summary}", escape(MarkdownReport.summary(report)))
        .replace("${tables}", escape(MarkdownReport.of(report)))
        .replace("${charts}", json(charts))
        .replace("${library}", resource(CHART_LIBRARY));
  }

  private static ObjectNode reasonChart(LossReport report) {
    List<LossReport.ReasonSum> sums =
        report.byReason().stream().filter(sum -> sum.millis() > 0).toList();
    ObjectNode chart =
        chart("Time of the missed jobs by reason, s", labels(sums, sum -> sum.reason().label()));
    ArrayNode values = chart.withArray("series").addObject().put("label", "s").putArray("data");
    sums.forEach(sum -> values.add(sum.millis() / MILLIS_PER_SECOND));
    return chart;
  }

  private static ObjectNode groupChart(String title, List<LossReport.Group> groups) {
    ObjectNode chart = chart(title, labels(groups, LossReport.Group::name));
    Set<TimeReason> reasons = new LinkedHashSet<>();
    groups.forEach(group -> reasons.addAll(group.mainReasons().keySet()));
    for (TimeReason reason : reasons) {
      ObjectNode series = chart.withArray("series").addObject().put("label", reason.label());
      ArrayNode values = series.putArray("data");
      groups.forEach(group -> values.add(group.mainReasons().getOrDefault(reason, 0)));
    }
    return chart;
  }

  private static ObjectNode chart(String title, List<String> labels) {
    ObjectNode chart = JSON.createObjectNode().put("title", title);
    ArrayNode names = chart.putArray("labels");
    labels.forEach(names::add);
    chart.putArray("series");
    return chart;
  }

  private static <T> List<String> labels(List<T> rows, Function<T, String> nameOf) {
    return new ArrayList<>(rows.stream().map(nameOf).toList());
  }

  /** Returns JSON that may stand in a script element. */
  private static String json(ArrayNode charts) throws JsonProcessingException {
    return JSON.writeValueAsString(charts).replace("<", "\\u003c");
  }

  private static String escape(String text) {
    return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
  }

  private static String resource(String name) throws IOException {
    try (InputStream stream = HtmlReport.class.getResourceAsStream(name)) {
      if (stream == null) {
        throw new IOException("resource missing from the program: " + name);
      }
      return new String(stream.readAllBytes(), StandardCharsets.UTF_8);
    }
  }
}
