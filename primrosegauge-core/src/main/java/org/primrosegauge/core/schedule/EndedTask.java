package org.primrosegauge.core.schedule;

import org.primrosegauge.core.TaskId;

/**
 * A task that ended, and how.
 *
 * @since 0.1
 */
public record EndedTask(TaskId task, TaskOutcome outcome) {}
