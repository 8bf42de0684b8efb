package org.primrosegauge.core.site;

import org.primrosegauge.core.settings.SettingFault;

/**
 * One fault of a site configuration.
 *
 * @param kind what is wrong
 * @param path key that the fault concerns
 * @param summary what is wrong, in words
 * @param remedy what the reader can do about it
 * @since 0.1
 */
public record SiteFault(SettingFault.Kind kind, SitePath path, String summary, String remedy) {

  /**
   * Returns the fault of a settings file.
   *
   * @param location file and line of the key
   * @since 0.1
   */
  public SettingFault at(String location) {
    return new SettingFault(kind, location, path.qualifiedKey(), summary, remedy);
  }
}
