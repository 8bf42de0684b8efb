package org.primrosegauge.core.scope.cfg;

import java.util.Arrays;
import java.util.EnumSet;
import java.util.Locale;
import java.util.Set;
import java.util.stream.Collectors;
import org.primrosegauge.core.InvalidInputException;

/**
 * Mechanism of the scope scheduler that can be switched off, to measure what it is worth. None of
 * them is needed to keep what is promised to customers.
 *
 * @since 0.4
 */
public enum ScopeFeature {
  /** Run times are expected from those observed, not only from the declared ones. */
  OBSERVED_RUN_TIMES,
  /** Workers are used only after they have confirmed that they respond. */
  WORKER_CONFIRMATION,
  /** Capacity is withheld from small tasks as headroom for urgent jobs and gangs. */
  HEADROOM,
  /** Workers are reserved for gangs that wait for capacity. */
  BACKFILL_RESERVATIONS,
  /** Steps wait for a while for workers that are local to their data or to each other. */
  LOCALITY_WAIT,
  /** Urgent steps wait too, for a short time. */
  URGENT_LOCALITY_WAIT,
  /** Workers on which runs fail or stall are given no new runs for a while. */
  QUARANTINE,
  /** Runs that make no progress are started elsewhere. */
  STALL_DETECTION,
  /** Workers are probed when their response to a poll or the end of a stopped run is overdue. */
  OVERDUE_PROBES,
  /** Runs that cannot end before their worker exits are stopped while it still responds. */
  STOP_BEFORE_EXIT;

  private static final String SEPARATOR = ",";

  /**
   * Returns the name of the mechanism in settings, such as {@code worker-confirmation}.
   *
   * @since 0.4
   */
  public String settingName() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /**
   * Parses a list of mechanisms.
   *
   * @param text names as in settings, separated by commas
   * @param location where the text stands, for errors
   * @throws InvalidInputException when a name is unknown
   * @since 0.4
   */
  public static Set<ScopeFeature> parseList(String text, String location)
      throws InvalidInputException {
    Set<ScopeFeature> found = EnumSet.noneOf(ScopeFeature.class);
    for (String name : text.split(SEPARATOR, -1)) {
      found.add(parse(name.strip(), location));
    }
    return found;
  }

  private static ScopeFeature parse(String name, String location) throws InvalidInputException {
    for (ScopeFeature feature : values()) {
      if (feature.settingName().equals(name)) {
        return feature;
      }
    }
    String known =
        Arrays.stream(values()).map(ScopeFeature::settingName).collect(Collectors.joining(", "));
    throw new InvalidInputException(
        "unknown mechanism '" + name + "'", "use one of " + known, location);
  }
}
