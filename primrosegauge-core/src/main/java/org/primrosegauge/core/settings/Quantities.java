package org.primrosegauge.core.settings;

import java.util.OptionalLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Text form of quantities with a unit: spans of time and amounts of data.
 *
 * <p>Stateless and thread-safe. A number without a unit, a fraction and a unit of another kind are
 * no quantity.
 *
 * @since 0.1
 */
public final class Quantities {

  /** Milliseconds in a second. */
  public static final long MILLIS_PER_SECOND = 1_000;

  /** Bytes in a KiB. */
  public static final long BYTES_PER_KIB = 1_024;

  /** Bytes in a MiB. */
  public static final long BYTES_PER_MIB = 1_024 * BYTES_PER_KIB;

  private static final long MILLIS_PER_MINUTE = 60 * MILLIS_PER_SECOND;
  private static final long MILLIS_PER_HOUR = 60 * MILLIS_PER_MINUTE;
  private static final long BYTES_PER_GIB = 1_024 * BYTES_PER_MIB;

  private static final Pattern SYNTAX = Pattern.compile("([0-9]{1,15}) ?([A-Za-z]+)");

  private Quantities() {}

  /**
   * Reads a span of time in ms, s, min or h.
   *
   * @return milliseconds, or nothing when the text is no span of time or too large
   * @since 0.1
   */
  public static OptionalLong parseMillis(String text) {
    return parse(text, Quantities::millisOf);
  }

  /**
   * Reads an amount of data in B, KiB, MiB or GiB.
   *
   * @return bytes, or nothing when the text is no amount of data or too large
   * @since 0.1
   */
  public static OptionalLong parseBytes(String text) {
    return parse(text, Quantities::bytesOf);
  }

  /**
   * Prints a span of time in the largest unit that divides it.
   *
   * @since 0.1
   */
  public static String formatMillis(long millis) {
    if (millis == 0 || millis % MILLIS_PER_SECOND != 0) {
      return millis + "ms";
    }
    if (millis % MILLIS_PER_HOUR == 0) {
      return millis / MILLIS_PER_HOUR + "h";
    }
    if (millis % MILLIS_PER_MINUTE == 0) {
      return millis / MILLIS_PER_MINUTE + "min";
    }
    return millis / MILLIS_PER_SECOND + "s";
  }

  /**
   * Prints an amount of data in the largest unit that divides it.
   *
   * @since 0.1
   */
  public static String formatBytes(long bytes) {
    if (bytes == 0 || bytes % BYTES_PER_KIB != 0) {
      return bytes + "B";
    }
    if (bytes % BYTES_PER_GIB == 0) {
      return bytes / BYTES_PER_GIB + "GiB";
    }
    if (bytes % BYTES_PER_MIB == 0) {
      return bytes / BYTES_PER_MIB + "MiB";
    }
    return bytes / BYTES_PER_KIB + "KiB";
  }

  private static OptionalLong parse(String text, UnitFactor factors) {
    Matcher matcher = SYNTAX.matcher(text);
    if (!matcher.matches()) {
      return OptionalLong.empty();
    }
    long factor = factors.of(matcher.group(2));
    long number = Long.parseLong(matcher.group(1));
    if (factor == 0 || number > Long.MAX_VALUE / factor) {
      return OptionalLong.empty();
    }
    return OptionalLong.of(number * factor);
  }

  private static long millisOf(String unit) {
    return switch (unit) {
      case "ms" -> 1;
      case "s" -> MILLIS_PER_SECOND;
      case "min" -> MILLIS_PER_MINUTE;
      case "h" -> MILLIS_PER_HOUR;
      default -> 0;
    };
  }

  private static long bytesOf(String unit) {
    return switch (unit) {
      case "B" -> 1;
      case "KiB" -> BYTES_PER_KIB;
      case "MiB" -> BYTES_PER_MIB;
      case "GiB" -> BYTES_PER_GIB;
      default -> 0;
    };
  }

  /** Size of a unit in the base unit; 0 for an unknown one. */
  @FunctionalInterface
  private interface UnitFactor {
    long of(String unit);
  }
}
