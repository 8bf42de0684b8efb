package org.primrosegauge.bench;

import java.util.Locale;

/**
 * One measured figure, printed as one JSON line. A missed target is printed as missed.
 *
 * @param name stable name of the figure
 * @param value measured value
 * @param unit unit of the value
 * @param baseline value of the baseline in the same run; NaN when there is none
 * @param target bound; NaN when none is set
 * @param bound what the target bounds
 * @since 0.1
 */
public record Figure(
    String name, double value, String unit, double baseline, double target, Bound bound) {

  /** What a target bounds. */
  public enum Bound {
    /** The value, from above. */
    VALUE_AT_MOST,
    /** The value, from below. */
    VALUE_AT_LEAST,
    /** The ratio to the baseline, from above. */
    RATIO_AT_MOST,
    /** The ratio to the baseline, from below. */
    RATIO_AT_LEAST
  }

  /**
   * Creates a figure whose target is an upper bound.
   *
   * @param targetIsRatio whether the target concerns the ratio to the baseline
   * @since 0.1
   */
  public Figure(
      String name,
      double value,
      String unit,
      double baseline,
      double target,
      boolean targetIsRatio) {
    this(
        name,
        value,
        unit,
        baseline,
        target,
        targetIsRatio ? Bound.RATIO_AT_MOST : Bound.VALUE_AT_MOST);
  }

  /**
   * Creates a figure without a target.
   *
   * @since 0.1
   */
  public static Figure plain(String name, double value, String unit, double baseline) {
    return new Figure(name, value, unit, baseline, Double.NaN, Bound.VALUE_AT_MOST);
  }

  /**
   * Tells whether the target is met; false when none is set.
   *
   * @since 0.1
   */
  public boolean isMet() {
    double ratio = value / baseline;
    return switch (bound) {
      case VALUE_AT_MOST -> value <= target;
      case VALUE_AT_LEAST -> value >= target;
      case RATIO_AT_MOST -> ratio <= target;
      case RATIO_AT_LEAST -> ratio >= target;
    };
  }

  /**
   * Returns the JSON line.
   *
   * @since 0.1
   */
  public String json() {
    return String.format(
        Locale.ROOT,
        "{\"name\":\"%s\",\"value\":%s,\"unit\":\"%s\",\"baseline\":%s,\"ratio\":%s,"
            + "\"target\":%s,\"met\":%s}",
        name,
        number(value),
        unit,
        number(baseline),
        number(value / baseline),
        number(target),
        Double.isNaN(target) ? "null" : String.valueOf(isMet()));
  }

  private static String number(double value) {
    return Double.isFinite(value) ? String.format(Locale.ROOT, "%.4f", value) : "null";
  }
}
