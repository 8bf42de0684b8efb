package org.primrosegauge.wire.toml;

import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.primrosegauge.core.HostPort;
import org.primrosegauge.core.IdSyntax;
import org.primrosegauge.core.InvalidInputException;
import org.primrosegauge.core.settings.Quantities;
import org.primrosegauge.core.settings.SettingFault;
import org.primrosegauge.core.settings.SettingKey;
import org.primrosegauge.core.settings.SettingType;
import org.tomlj.TomlArray;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/**
 * One table of a settings file. Each accessor checks the value against its key; a faulty value is
 * reported to the file and replaced by the default or the least value, so that reading goes on and
 * finds the other faults.
 *
 * <p>One use by one thread.
 *
 * @since 0.1
 */
public final class TomlSection {

  private final TomlFile file;
  private final String table;
  private final TomlTable content;
  private final int line;

  TomlSection(TomlFile file, String table, TomlTable content, int line, List<SettingKey> keys) {
    this.file = file;
    this.table = table;
    this.content = content;
    this.line = line;
    checkKeys(keys);
  }

  /**
   * Returns the line of a key, or that of the table when the key is missing.
   *
   * @since 0.1
   */
  public int lineOf(String name) {
    TomlPosition position =
        content.contains(List.of(name)) ? content.inputPositionOf(List.of(name)) : null;
    return position == null ? line : position.line();
  }

  /**
   * Tells whether a key is given.
   *
   * @since 0.1
   */
  public boolean has(SettingKey key) {
    return content.contains(List.of(key.name()));
  }

  /**
   * Reads a text.
   *
   * @return the text, or nothing when it is missing without a default
   * @since 0.1
   */
  public Optional<String> text(SettingKey key) {
    if (!has(key)) {
      checkRequired(key);
      return Optional.of(key.defaultText()).filter(text -> !text.isEmpty());
    }
    if (!(content.get(List.of(key.name())) instanceof String text)) {
      reportType(key, "text in quotes");
      return Optional.empty();
    }
    return Optional.of(text);
  }

  /**
   * Reads an id.
   *
   * @return a well-formed id, or nothing when it is missing or malformed
   * @since 0.1
   */
  public Optional<String> id(SettingKey key) {
    Optional<String> text = text(key);
    if (text.isPresent() && !IdSyntax.isValid(text.get())) {
      report(
          key,
          SettingFault.Kind.OUT_OF_RANGE,
          "'" + text.get() + "' is no id",
          "use 1 to " + IdSyntax.MAX_LENGTH + " characters of a-z, 0-9, '.', '_' and '-'");
      return Optional.empty();
    }
    return text;
  }

  /**
   * Reads a boolean.
   *
   * @since 0.1
   */
  public boolean flag(SettingKey key) {
    boolean fallback = Boolean.parseBoolean(key.defaultText());
    if (!has(key)) {
      checkRequired(key);
      return fallback;
    }
    if (!(content.get(List.of(key.name())) instanceof Boolean flag)) {
      reportType(key, "true or false, without quotes");
      return fallback;
    }
    return flag;
  }

  /**
   * Reads a whole number.
   *
   * @since 0.1
   */
  public long number(SettingKey key) {
    if (!has(key)) {
      checkRequired(key);
      return fallback(key);
    }
    if (!(content.get(List.of(key.name())) instanceof Long number)) {
      reportType(key, "a whole number without quotes");
      return fallback(key);
    }
    return checkRange(key, number);
  }

  /**
   * Reads a span of time.
   *
   * @return milliseconds
   * @since 0.1
   */
  public long millis(SettingKey key) {
    return quantity(key, "500ms");
  }

  /**
   * Reads an amount of data.
   *
   * @return bytes
   * @since 0.1
   */
  public long bytes(SettingKey key) {
    return quantity(key, "64MiB");
  }

  /**
   * Reads one of a list of words.
   *
   * @return the word; the default or the first of the list when it is faulty
   * @since 0.1
   */
  public String choice(SettingKey key) {
    String fallback = key.defaultText().isEmpty() ? key.choices().get(0) : key.defaultText();
    String word = text(key).orElse(fallback);
    if (!key.choices().contains(word)) {
      report(
          key,
          SettingFault.Kind.OUT_OF_RANGE,
          "'" + word + "' is none of the words allowed here",
          "use one of " + key.rangeText());
      return fallback;
    }
    return word;
  }

  /**
   * Reads an address with a port other than 0.
   *
   * @return the address, or nothing when it is missing or malformed
   * @since 0.1
   */
  public Optional<HostPort> address(SettingKey key) {
    Optional<String> text = text(key);
    if (text.isEmpty()) {
      return Optional.empty();
    }
    try {
      HostPort address = HostPort.parse(text.get(), "");
      if (address.port() == 0) {
        report(
            key,
            SettingFault.Kind.OUT_OF_RANGE,
            "port 0",
            "use a port from 1 to " + HostPort.MAX_PORT);
        return Optional.empty();
      }
      return Optional.of(address);
    } catch (InvalidInputException e) {
      report(key, SettingFault.Kind.WRONG_TYPE, e.summary(), e.remedy());
      return Optional.empty();
    }
  }

  /**
   * Reads a file or folder.
   *
   * @param base folder that a relative path starts from
   * @return the path, or nothing when it is missing or malformed
   * @since 0.1
   */
  public Optional<Path> path(SettingKey key, Path base) {
    try {
      return text(key).map(base::resolve);
    } catch (InvalidPathException e) {
      report(key, SettingFault.Kind.WRONG_TYPE, "not a path", "write the path of a file or folder");
      return Optional.empty();
    }
  }

  /**
   * Reads a list of texts.
   *
   * @return the texts; none when the key is missing or faulty
   * @since 0.1
   */
  public List<String> words(SettingKey key) {
    if (!has(key)) {
      checkRequired(key);
      return List.of();
    }
    boolean texts =
        content.get(List.of(key.name())) instanceof TomlArray array
            && array.toList().stream().allMatch(String.class::isInstance);
    if (!texts) {
      reportType(key, "a list such as [\"one\", \"two\"]");
      return List.of();
    }
    return content.getArray(List.of(key.name())).toList().stream().map(String.class::cast).toList();
  }

  /**
   * Reports a fault of a key.
   *
   * @since 0.1
   */
  public void report(SettingKey key, SettingFault.Kind kind, String summary, String remedy) {
    file.report(lineOf(key.name()), kind, key.qualifiedName(), summary, remedy);
  }

  private long quantity(SettingKey key, String example) {
    if (!has(key)) {
      checkRequired(key);
      return fallback(key);
    }
    Object value = content.get(List.of(key.name()));
    OptionalLong amount =
        value instanceof String text ? parse(key.type(), text) : OptionalLong.empty();
    if (amount.isEmpty()) {
      report(
          key,
          SettingFault.Kind.WRONG_UNIT,
          "'" + value + "' is no " + key.type().label(),
          "write a whole number with one of "
              + key.type().units()
              + ", such as \""
              + example
              + "\"");
      return fallback(key);
    }
    return checkRange(key, amount.getAsLong());
  }

  private static OptionalLong parse(SettingType type, String text) {
    return type == SettingType.DURATION
        ? Quantities.parseMillis(text)
        : Quantities.parseBytes(text);
  }

  private long checkRange(SettingKey key, long number) {
    if (key.inRange(number)) {
      return number;
    }
    report(
        key,
        SettingFault.Kind.OUT_OF_RANGE,
        "'" + content.get(List.of(key.name())) + "' is out of range",
        "use " + key.rangeText());
    return fallback(key);
  }

  private static long fallback(SettingKey key) {
    if (key.defaultText().isEmpty()) {
      return key.minimum();
    }
    return key.type() == SettingType.NUMBER
        ? Long.parseLong(key.defaultText())
        : parse(key.type(), key.defaultText()).orElseThrow();
  }

  private void checkRequired(SettingKey key) {
    if (key.required() && !file.hasSyntaxFaults()) {
      report(
          key,
          SettingFault.Kind.MISSING,
          "required and not given",
          "add " + key.name() + " (" + key.doc() + ")");
    }
  }

  private void reportType(SettingKey key, String expected) {
    report(
        key,
        SettingFault.Kind.WRONG_TYPE,
        "not of type " + key.type().label(),
        "write " + expected);
  }

  private void checkKeys(List<SettingKey> keys) {
    List<String> known = keys.stream().map(SettingKey::name).toList();
    for (String name : content.keySet()) {
      if (!known.contains(name)) {
        file.report(
            lineOf(name),
            SettingFault.Kind.UNKNOWN_KEY,
            table + "." + name,
            "no such key",
            "remove it, or use one of " + known);
      }
    }
  }
}
