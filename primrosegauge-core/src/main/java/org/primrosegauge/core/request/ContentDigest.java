package org.primrosegauge.core.request;

import java.util.Objects;

/**
 * Digest of a key or a request, as lower-case hexadecimal text. Keys of callers enter the
 * replicated log only in this form.
 *
 * @param hex digest text
 * @since 0.1
 */
public record ContentDigest(String hex) {

  /** Checks that there is a text. */
  public ContentDigest {
    Objects.requireNonNull(hex);
    if (hex.isEmpty()) {
      throw new IllegalArgumentException("empty digest");
    }
  }
}
