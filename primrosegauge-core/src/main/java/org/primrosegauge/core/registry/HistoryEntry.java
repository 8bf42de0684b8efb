package org.primrosegauge.core.registry;

import org.primrosegauge.core.RequestId;
import org.primrosegauge.core.Revision;

/**
 * One accepted change of the configuration.
 *
 * @param revision revision that it made
 * @param digest digest of the content
 * @param operator who asked
 * @param requestId request id
 * @param logMillis log time
 * @since 0.1
 */
public record HistoryEntry(
    Revision revision,
    ContentDigest digest,
    String operator,
    RequestId requestId,
    long logMillis) {}
