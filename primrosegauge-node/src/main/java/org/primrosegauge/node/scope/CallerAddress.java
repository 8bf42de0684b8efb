package org.primrosegauge.node.scope;

import java.util.Objects;

/**
 * Host, path and API key of a caller's request.
 *
 * @param host host that the request was sent to, without a port
 * @param path path of the request
 * @param key key that the caller presented; null if none
 * @since 0.2
 */
public record CallerAddress(String host, String path, String key) {

  /** Checks that host and path are present. */
  public CallerAddress {
    Objects.requireNonNull(host, "host");
    Objects.requireNonNull(path, "path");
  }
}
