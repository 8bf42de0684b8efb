package org.primrosegauge.core.registry;

import org.primrosegauge.core.RequestId;

/**
 * Result of the first command with an operator's request id, returned again for repetitions.
 *
 * @param requestId request id
 * @param command fingerprint of the command
 * @param result result of the command
 * @param logMillis log time when the command was applied, in milliseconds
 * @since 0.1
 */
public record RecordedResult(
    RequestId requestId, CommandFingerprint command, RegistryResult result, long logMillis) {}
