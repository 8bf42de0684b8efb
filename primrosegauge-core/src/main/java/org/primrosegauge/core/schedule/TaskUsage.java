package org.primrosegauge.core.schedule;

import org.primrosegauge.core.TaskId;
import org.primrosegauge.core.job.Resources;

/**
 * What a task really uses.
 *
 * @since 0.1
 */
public record TaskUsage(TaskId task, Resources used) {}
