package org.primrosegauge.wire.target;

import org.primrosegauge.core.TaskId;
import org.primrosegauge.core.job.Resources;

/**
 * A task that a worker holds.
 *
 * @param task task
 * @param running whether it was started; otherwise it is only reserved
 * @param usage resources that it uses, as last measured
 * @param record job record that came with the start, given back so that a keeper can rebuild its
 *     state; empty for a reserved task
 * @since 0.1
 */
public record TaskReport(TaskId task, boolean running, Resources usage, String record) {}
