package org.primrosegauge.core.settings;

/**
 * One fault of a settings file.
 *
 * @param kind what is wrong
 * @param location file and line, such as {@code site.toml:12}
 * @param key qualified name of the key; empty when the fault concerns none
 * @param summary what is wrong, in words
 * @param remedy what the reader can do about it
 * @since 0.1
 */
public record SettingFault(Kind kind, String location, String key, String summary, String remedy) {

  /** Kinds of faults. */
  public enum Kind {
    /** The file is no TOML. */
    SYNTAX,
    /** A key that nobody reads. */
    UNKNOWN_KEY,
    /** A key or entry that stands twice. */
    DUPLICATE,
    /** A required key is not given. */
    MISSING,
    /** The value has another type. */
    WRONG_TYPE,
    /** The value has no unit or one of another kind. */
    WRONG_UNIT,
    /** The value is outside the range. */
    OUT_OF_RANGE,
    /** The value names something that is not there. */
    UNKNOWN_REFERENCE,
    /** Two values contradict each other. */
    CLASH,
    /** The site cannot carry what is promised. */
    OVER_CAPACITY
  }

  @Override
  public String toString() {
    String place = key.isEmpty() ? location : location + ": " + key;
    return place + ": " + summary + "; remedy: " + remedy;
  }
}
