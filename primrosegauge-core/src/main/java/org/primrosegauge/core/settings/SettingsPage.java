package org.primrosegauge.core.settings;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Prints a table of keys as the Markdown of the settings page.
 *
 * <p>Stateless and thread-safe.
 *
 * @since 0.1
 */
public final class SettingsPage {

  private SettingsPage() {}

  /**
   * Returns one section for each table of the file, in the order of the keys.
   *
   * @since 0.1
   */
  public static String render(List<SettingKey> keys) {
    Map<String, List<SettingKey>> tables =
        keys.stream()
            .collect(
                Collectors.groupingBy(SettingKey::table, LinkedHashMap::new, Collectors.toList()));
    StringBuilder page = new StringBuilder();
    tables.forEach((table, entries) -> renderTable(page, table, entries));
    return page.toString();
  }

  private static void renderTable(StringBuilder page, String table, List<SettingKey> keys) {
    page.append("\n### ").append(heading(table)).append("\n\n");
    page.append("| key | type | unit | range | default | what it does |\n");
    page.append("|---|---|---|---|---|---|\n");
    keys.forEach(key -> page.append(row(key)));
  }

  private static String heading(String table) {
    return table.endsWith("[]") ? "`[[" + table.replace("[]", "") + "]]`" : "`[" + table + "]`";
  }

  private static String row(SettingKey key) {
    String fallback = key.required() ? "required" : key.defaultText();
    return "| `%s` | %s | %s | %s | %s | %s |\n"
        .formatted(
            key.name(),
            key.type().label(),
            key.type().units(),
            key.rangeText(),
            fallback.isEmpty() ? "none" : fallback,
            key.doc());
  }
}
