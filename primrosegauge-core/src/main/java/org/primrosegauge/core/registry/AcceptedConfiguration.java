package org.primrosegauge.core.registry;

import org.primrosegauge.core.Revision;

/**
 * The currently accepted configuration.
 *
 * @param revision revision
 * @param digest digest of the content
 * @param content whole configuration as TOML text
 * @since 0.1
 */
public record AcceptedConfiguration(Revision revision, ContentDigest digest, String content) {

  /** Initial configuration of a new site. */
  public static final AcceptedConfiguration NONE =
      new AcceptedConfiguration(Revision.NONE, ContentDigest.EMPTY, "");
}
