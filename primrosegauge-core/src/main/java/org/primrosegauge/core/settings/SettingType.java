package org.primrosegauge.core.settings;

/**
 * Type of a setting's value.
 *
 * @since 0.1
 */
public enum SettingType {
  /** Free text. */
  TEXT("text", ""),
  /** An id, see {@link org.primrosegauge.core.IdSyntax}. */
  ID("id", ""),
  /** {@code true} or {@code false}. */
  FLAG("boolean", ""),
  /** A whole number. */
  NUMBER("integer", ""),
  /** A span of time: text such as "500ms". */
  DURATION("duration", "ms, s, min, h"),
  /** An amount of memory or data: text such as "64MiB". */
  SIZE("size", "B, KiB, MiB, GiB"),
  /** An IP number and a port. */
  ADDRESS("address", "host:port"),
  /** A file or folder; a relative one starts at the folder of the settings file. */
  PATH("path", ""),
  /** One of a list of words. */
  CHOICE("choice", ""),
  /** A list of texts. */
  WORDS("list of text", "");

  private final String label;
  private final String units;

  SettingType(String label, String units) {
    this.label = label;
    this.units = units;
  }

  /**
   * Returns the name of the type on the settings page.
   *
   * @since 0.1
   */
  public String label() {
    return label;
  }

  /**
   * Returns the units that a value may have; empty when it has none.
   *
   * @since 0.1
   */
  public String units() {
    return units;
  }
}
