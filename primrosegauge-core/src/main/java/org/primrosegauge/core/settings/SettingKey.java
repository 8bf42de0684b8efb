package org.primrosegauge.core.settings;

import java.util.List;

/**
 * One key of a settings table: how its value is checked and what the settings page says about it.
 * Immutable; made by the factory methods and the {@code with} methods.
 *
 * @param table name of the table, such as {@code timeouts}; ends with {@code []} for an array of
 *     tables
 * @param name name of the key in its table
 * @param type type of the value
 * @param required whether the key has to be given
 * @param minimum least number, milliseconds or bytes; 0 for types without a range
 * @param maximum greatest number, milliseconds or bytes; 0 for types without a range
 * @param defaultText value taken when the key is missing, as written in a file; empty for none
 * @param choices allowed words of a {@link SettingType#CHOICE}
 * @param doc what the key does
 * @since 0.1
 */
public record SettingKey(
    String table,
    String name,
    SettingType type,
    boolean required,
    long minimum,
    long maximum,
    String defaultText,
    List<String> choices,
    String doc) {

  /** Copies the list. */
  public SettingKey {
    choices = List.copyOf(choices);
  }

  /**
   * Creates an optional key without range and default.
   *
   * @since 0.1
   */
  public static SettingKey of(String table, String name, SettingType type, String doc) {
    return new SettingKey(table, name, type, false, 0, 0, "", List.of(), doc);
  }

  /**
   * Creates a key whose value is one of a list of words.
   *
   * @since 0.1
   */
  public static SettingKey choice(String table, String name, List<String> choices, String doc) {
    return new SettingKey(table, name, SettingType.CHOICE, false, 0, 0, "", choices, doc);
  }

  /**
   * Returns this key as one that has to be given.
   *
   * @since 0.1
   */
  public SettingKey withRequired() {
    return new SettingKey(table, name, type, true, minimum, maximum, defaultText, choices, doc);
  }

  /**
   * Returns this key with another range, both ends included.
   *
   * @since 0.1
   */
  public SettingKey withRange(long newMinimum, long newMaximum) {
    return new SettingKey(
        table, name, type, required, newMinimum, newMaximum, defaultText, choices, doc);
  }

  /**
   * Returns this key with another default, as written in a file.
   *
   * @since 0.1
   */
  public SettingKey withDefault(String newDefault) {
    return new SettingKey(table, name, type, required, minimum, maximum, newDefault, choices, doc);
  }

  /**
   * Tells whether values of this key have a range.
   *
   * @since 0.1
   */
  public boolean hasRange() {
    return minimum != 0 || maximum != 0;
  }

  /**
   * Tells whether a number is in the range.
   *
   * @since 0.1
   */
  public boolean inRange(long number) {
    return !hasRange() || (number >= minimum && number <= maximum);
  }

  /**
   * Returns the range as the settings page and the errors show it; empty when there is none.
   *
   * @since 0.1
   */
  public String rangeText() {
    if (type == SettingType.CHOICE) {
      return String.join(", ", choices);
    }
    return hasRange() ? text(minimum) + " to " + text(maximum) : "";
  }

  /**
   * Returns the name with its table.
   *
   * @since 0.1
   */
  public String qualifiedName() {
    return table.isEmpty() ? name : table + "." + name;
  }

  private String text(long number) {
    return switch (type) {
      case DURATION -> Quantities.formatMillis(number);
      case SIZE -> Quantities.formatBytes(number);
      default -> Long.toString(number);
    };
  }
}
