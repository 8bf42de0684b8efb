package org.primrosegauge.core.registry;

import org.primrosegauge.core.RequestId;
import org.primrosegauge.core.Revision;

/**
 * An accepted change of the configuration.
 *
 * @param revision revision that the change created
 * @param digest digest of the content
 * @param operator operator who requested the change
 * @param requestId id of the operator's request
 * @param logMillis log time of the change, in milliseconds
 * @since 0.1
 */
public record HistoryEntry(
    Revision revision,
    ContentDigest digest,
    String operator,
    RequestId requestId,
    long logMillis) {}
