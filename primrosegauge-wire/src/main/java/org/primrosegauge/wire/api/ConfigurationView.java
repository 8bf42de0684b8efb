package org.primrosegauge.wire.api;

import java.util.List;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.Revision;

/**
 * An accepted configuration and where it is in force.
 *
 * @param revision revision
 * @param digest SHA-256 of the text, in hexadecimal
 * @param state {@code in-force} when every instance has applied it, otherwise {@code accepted}
 * @param notInForceIn instances that have not reported the revision
 * @param toml text of the configuration; null where it is not asked for
 * @since 0.1
 */
public record ConfigurationView(
    Revision revision, String digest, String state, List<InstanceId> notInForceIn, String toml) {}
