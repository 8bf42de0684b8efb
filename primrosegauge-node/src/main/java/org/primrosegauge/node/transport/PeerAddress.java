package org.primrosegauge.node.transport;

import org.primrosegauge.core.InstanceId;

/**
 * Where an instance listens for its peers.
 *
 * @param instance instance
 * @param host IP number
 * @param port TCP port
 * @since 0.1
 */
public record PeerAddress(InstanceId instance, String host, int port) {}
