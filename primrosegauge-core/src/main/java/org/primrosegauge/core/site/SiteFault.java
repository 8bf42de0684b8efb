package org.primrosegauge.core.site;

import org.primrosegauge.core.settings.SettingFault;

/**
 * A validation error of a site configuration.
 *
 * @param kind kind of the error
 * @param path key that the error refers to
 * @param summary description of the error
 * @param remedy action that resolves the error
 * @since 0.1
 */
public record SiteFault(SettingFault.Kind kind, SitePath path, String summary, String remedy) {

  /**
   * Returns the error as one of a settings file.
   *
   * @param location file and line of the key
   * @since 0.1
   */
  public SettingFault at(String location) {
    return new SettingFault(kind, location, path.qualifiedKey(), summary, remedy);
  }
}
