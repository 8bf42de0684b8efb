package org.primrosegauge.core.registry;

import org.primrosegauge.core.RequestId;

/**
 * First answer to an operator's request id.
 *
 * @param requestId request id
 * @param command the command without its content
 * @param result the answer
 * @param logMillis log time of the answer
 * @since 0.1
 */
public record RecordedResult(
    RequestId requestId, CommandFingerprint command, RegistryResult result, long logMillis) {}
