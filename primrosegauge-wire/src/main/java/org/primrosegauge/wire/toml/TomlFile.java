package org.primrosegauge.wire.toml;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.primrosegauge.core.settings.SettingFault;
import org.primrosegauge.core.settings.SettingKey;
import org.primrosegauge.core.settings.SettingsException;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlParseError;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlTable;

/**
 * A parsed settings file that collects the faults found while its tables are read.
 *
 * <p>One use by one thread: parse, read each table, then {@link #finish}.
 *
 * @since 0.1
 */
public final class TomlFile {

  private static final String DUPLICATE_MARK = "previously defined";

  private final String name;
  private final TomlParseResult root;
  private final List<SettingKey> keys;
  private final List<LocatedFault> faults = new ArrayList<>();

  private TomlFile(String name, TomlParseResult root, List<SettingKey> keys) {
    this.name = name;
    this.root = root;
    this.keys = keys;
  }

  /**
   * Parses a text. Syntax errors become faults.
   *
   * @param name name of the file, for the faults
   * @param text content of the file
   * @param keys every key that the file may have
   * @since 0.1
   */
  public static TomlFile parse(String name, String text, List<SettingKey> keys) {
    TomlFile file = new TomlFile(name, Toml.parse(text), keys);
    file.root.errors().forEach(file::reportSyntax);
    file.checkTables();
    return file;
  }

  /**
   * Returns a table; an empty one when the file does not have it.
   *
   * @param table name of the table
   * @since 0.1
   */
  public TomlSection section(String table) {
    boolean present =
        root.contains(List.of(table)) && root.get(List.of(table)) instanceof TomlTable;
    TomlTable content = present ? root.getTable(List.of(table)) : Toml.parse("");
    int line = present ? root.inputPositionOf(List.of(table)).line() : 1;
    return new TomlSection(this, table, content, line, keysOf(table));
  }

  /**
   * Returns the entries of an array of tables, in the order of the file.
   *
   * @param table name of the array, without brackets
   * @since 0.1
   */
  public List<TomlSection> entries(String table) {
    List<TomlSection> entries = new ArrayList<>();
    if (root.get(List.of(table)) instanceof TomlArray array) {
      for (int index = 0; index < array.size(); index++) {
        if (array.get(index) instanceof TomlTable content) {
          int line = array.inputPositionOf(index).line();
          entries.add(new TomlSection(this, table + "[]", content, line, keysOf(table + "[]")));
        }
      }
    }
    return entries;
  }

  /**
   * Adds a fault.
   *
   * @param line line of the file, from 1
   * @param kind what is wrong
   * @param key qualified name of the key; empty for none
   * @param summary what is wrong, in words
   * @param remedy what the reader can do about it
   * @since 0.1
   */
  public void report(int line, SettingFault.Kind kind, String key, String summary, String remedy) {
    faults.add(
        new LocatedFault(line, new SettingFault(kind, location(line), key, summary, remedy)));
  }

  /**
   * Returns a line as faults name it.
   *
   * @since 0.1
   */
  public String location(int line) {
    return name + ":" + line;
  }

  /**
   * Tells whether the text is no TOML, so that keys may be missing only because their lines could
   * not be read.
   *
   * @since 0.1
   */
  public boolean hasSyntaxFaults() {
    return faults.stream().anyMatch(fault -> fault.fault().kind() == SettingFault.Kind.SYNTAX);
  }

  /**
   * Tells whether any fault was found so far.
   *
   * @since 0.1
   */
  public boolean hasFaults() {
    return !faults.isEmpty();
  }

  /**
   * Ends the reading.
   *
   * @throws SettingsException with all faults by line, when there are any
   * @since 0.1
   */
  public void finish() throws SettingsException {
    if (hasFaults()) {
      List<SettingFault> sorted =
          faults.stream()
              .sorted(Comparator.comparingInt(LocatedFault::line))
              .map(LocatedFault::fault)
              .distinct()
              .toList();
      throw new SettingsException(name, sorted);
    }
  }

  private List<SettingKey> keysOf(String table) {
    return keys.stream().filter(key -> key.table().equals(table)).toList();
  }

  private void reportSyntax(TomlParseError error) {
    boolean duplicate = error.getMessage().contains(DUPLICATE_MARK);
    report(
        error.position().line(),
        duplicate ? SettingFault.Kind.DUPLICATE : SettingFault.Kind.SYNTAX,
        "",
        error.getMessage(),
        duplicate ? "remove one of the two" : "write the line as TOML");
  }

  private void checkTables() {
    for (String table : root.keySet()) {
      Object content = root.get(List.of(table));
      boolean single = content instanceof TomlTable && !keysOf(table).isEmpty();
      boolean array =
          content instanceof TomlArray list && isTables(list) && !keysOf(table + "[]").isEmpty();
      if (!single && !array) {
        reportTable(table);
      }
    }
  }

  private static boolean isTables(TomlArray array) {
    return array.toList().stream().allMatch(entry -> entry instanceof TomlTable);
  }

  private void reportTable(String table) {
    boolean known = !keysOf(table).isEmpty() || !keysOf(table + "[]").isEmpty();
    boolean array = !keysOf(table + "[]").isEmpty();
    List<String> tables = keys.stream().map(SettingKey::table).distinct().sorted().toList();
    report(
        root.inputPositionOf(List.of(table)).line(),
        known ? SettingFault.Kind.WRONG_TYPE : SettingFault.Kind.UNKNOWN_KEY,
        table,
        known ? "not written as a table" : "no such table",
        known
            ? "write " + (array ? "[[" + table + "]]" : "[" + table + "]")
            : "use one of " + tables);
  }

  private record LocatedFault(int line, SettingFault fault) {}
}
