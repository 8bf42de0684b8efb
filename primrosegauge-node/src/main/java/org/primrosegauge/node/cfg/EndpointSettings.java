package org.primrosegauge.node.cfg;

import org.primrosegauge.core.HostPort;

/**
 * Addresses of one server of this instance.
 *
 * @param listen address that the server binds
 * @param advertised address that others connect to
 * @since 0.1
 */
public record EndpointSettings(HostPort listen, HostPort advertised) {}
