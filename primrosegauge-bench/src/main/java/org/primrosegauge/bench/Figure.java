package org.primrosegauge.bench;

import java.util.Locale;

/**
 * One measured figure. A missed target is reported as missed. Immutable.
 *
 * @param name name
 * @param value measured value
 * @param unit unit of value and baseline
 * @param baseline value to compare with; 0 when there is none
 * @param target bound of the ratio, or of the value without a baseline
 * @param atMost whether the target is an upper bound
 * @since 0.1
 */
public record Figure(
    String name, double value, String unit, double baseline, double target, boolean atMost) {

  /**
   * Returns value over baseline, or the value where there is no baseline.
   *
   * @since 0.1
   */
  public double ratio() {
    return baseline > 0 ? value / baseline : value;
  }

  /**
   * Tells whether the target is met.
   *
   * @since 0.1
   */
  public boolean met() {
    return atMost ? ratio() <= target : ratio() >= target;
  }

  /**
   * Returns the figure as one line of JSON.
   *
   * @since 0.1
   */
  public String toJson() {
    return String.format(
        Locale.ROOT,
        "{\"name\":\"%s\",\"value\":%.3f,\"unit\":\"%s\",\"baseline\":%.3f,\"ratio\":%.3f,"
            + "\"target\":\"%s %.3f\",\"met\":%b}",
        name,
        value,
        unit,
        baseline,
        ratio(),
        atMost ? "<=" : ">=",
        target,
        met());
  }
}
