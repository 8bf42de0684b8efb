package org.primrosegauge.core.schedule;

import org.primrosegauge.core.TaskId;
import org.primrosegauge.core.job.JobSpec;

/**
 * A task that a worker runs, with the job record that came with its start, so that a new keeper can
 * rebuild jobs that it has never seen.
 *
 * @since 0.1
 */
public record RunningTask(TaskId task, JobSpec job) {}
