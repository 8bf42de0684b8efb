package org.primrosegauge.core.registry;

import org.primrosegauge.core.Revision;

/**
 * The configuration that is accepted now.
 *
 * @param revision revision
 * @param digest digest of the content
 * @param content whole configuration as TOML text
 * @since 0.1
 */
public record AcceptedConfiguration(Revision revision, ContentDigest digest, String content) {

  /** What a new site starts from. */
  public static final AcceptedConfiguration NONE =
      new AcceptedConfiguration(Revision.NONE, ContentDigest.EMPTY, "");
}
