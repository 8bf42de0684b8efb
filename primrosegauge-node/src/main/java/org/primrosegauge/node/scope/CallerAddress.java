package org.primrosegauge.node.scope;

/**
 * What a caller named and showed.
 *
 * @param host host that the request was sent to, without a port
 * @param path path of the request
 * @param key key that the caller showed; null when none
 * @since 0.2
 */
public record CallerAddress(String host, String path, String key) {}
