package org.primrosegauge.node.scope;

import java.util.Objects;

/**
 * What a caller named and showed.
 *
 * @param host host that the request was sent to, without a port
 * @param path path of the request
 * @param key key that the caller showed; null when none
 * @since 0.2
 */
public record CallerAddress(String host, String path, String key) {

  /** Checks that it names a path of a host. */
  public CallerAddress {
    Objects.requireNonNull(host, "host");
    Objects.requireNonNull(path, "path");
  }
}
