package org.primrosegauge.bench;

import java.util.Locale;

/**
 * One measured figure, printed as one JSON line.
 *
 * @param name stable name of the figure
 * @param value measured value
 * @param unit unit of the value
 * @param baseline value of the baseline in the same run; NaN when there is none
 * @param target largest value that meets the target, or the largest ratio to the baseline
 * @param targetIsRatio whether the target concerns the ratio; a NaN target means none is set
 * @since 0.1
 */
public record Figure(
    String name, double value, String unit, double baseline, double target, boolean targetIsRatio) {

  /**
   * Creates a figure without a target.
   *
   * @since 0.1
   */
  public static Figure plain(String name, double value, String unit, double baseline) {
    return new Figure(name, value, unit, baseline, Double.NaN, false);
  }

  /**
   * Returns the JSON line.
   *
   * @since 0.1
   */
  public String json() {
    double ratio = value / baseline;
    double judged = targetIsRatio ? ratio : value;
    String met = Double.isNaN(target) ? "null" : String.valueOf(judged <= target);
    return String.format(
        Locale.ROOT,
        "{\"name\":\"%s\",\"value\":%s,\"unit\":\"%s\",\"baseline\":%s,\"ratio\":%s,"
            + "\"target\":%s,\"met\":%s}",
        name,
        number(value),
        unit,
        number(baseline),
        number(ratio),
        number(target),
        met);
  }

  private static String number(double value) {
    return Double.isFinite(value) ? String.format(Locale.ROOT, "%.4f", value) : "null";
  }
}
