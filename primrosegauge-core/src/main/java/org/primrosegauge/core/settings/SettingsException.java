package org.primrosegauge.core.settings;

import java.util.List;
import java.util.stream.Collectors;
import org.primrosegauge.core.ErrorKind;
import org.primrosegauge.core.PrimrosegaugeException;

/**
 * Settings are refused. Carries every fault that was found, not just the first.
 *
 * @since 0.1
 */
public class SettingsException extends PrimrosegaugeException {

  private static final long serialVersionUID = 1L;

  private final transient List<SettingFault> faults;

  /**
   * Creates an error.
   *
   * @param source name of the file
   * @param faults at least one fault
   * @since 0.1
   */
  public SettingsException(String source, List<SettingFault> faults) {
    super(
        ErrorKind.INVALID_INPUT,
        faults.size() + (faults.size() == 1 ? " fault:\n" : " faults:\n") + lines(faults),
        "correct each line named above",
        source);
    this.faults = List.copyOf(faults);
  }

  /**
   * Returns all faults, in the order of the file where it is known.
   *
   * @since 0.1
   */
  public List<SettingFault> faults() {
    return faults;
  }

  private static String lines(List<SettingFault> faults) {
    return faults.stream().map(SettingFault::toString).collect(Collectors.joining("\n"));
  }
}
