package org.primrosegauge.core.registry.impl;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.TreeMap;
import org.primrosegauge.core.JobId;
import org.primrosegauge.core.registry.JobRecord;
import org.primrosegauge.core.registry.RegistryCommand.PutJob;
import org.primrosegauge.core.registry.RegistryResult;
import org.primrosegauge.core.registry.RegistryResult.JobRecorded;
import org.primrosegauge.core.registry.RegistryResult.LimitReached;
import org.primrosegauge.core.registry.RegistrySnapshot;
import org.primrosegauge.core.registry.cfg.RegistrySettings;

/**
 * Job records. A record only moves to a higher version, and a final one does not move.
 *
 * <p>Single-threaded; lives as long as its registry.
 *
 * @since 0.1
 */
public final class JobStore {

  private final RegistrySettings settings;
  private final Map<JobId, JobRecord> jobs = new TreeMap<>();
  private final Queue<JobRecord> finalRecords = new ArrayDeque<>();

  /** Creates the store that a snapshot holds. */
  public JobStore(RegistrySettings settings, RegistrySnapshot snapshot) {
    this.settings = settings;
    snapshot.jobs().forEach(record -> jobs.put(record.job(), record));
    snapshot.jobs().stream()
        .filter(JobRecord::isFinal)
        .sorted(Comparator.comparingLong(JobRecord::logMillis))
        .forEach(finalRecords::add);
  }

  /** Returns the records by job. */
  public List<JobRecord> jobs() {
    return List.copyOf(jobs.values());
  }

  /** Returns a job's record; null when none. */
  public JobRecord find(JobId job) {
    return jobs.get(job);
  }

  /** Records the state unless a later or final one is recorded. */
  public RegistryResult apply(PutJob command, long logMillis) {
    JobRecord present = jobs.get(command.job());
    if (present != null && (present.isFinal() || present.version() >= command.version())) {
      return new JobRecorded(present.version(), false);
    }
    if (present == null && jobs.size() >= settings.maxJobs()) {
      return new LimitReached("max-jobs");
    }
    JobRecord record =
        new JobRecord(
            command.domain(),
            command.job(),
            command.version(),
            command.isFinal(),
            logMillis,
            command.payload());
    jobs.put(record.job(), record);
    if (record.isFinal()) {
      finalRecords.add(record);
    }
    return new JobRecorded(record.version(), true);
  }

  /** Drops the final records that are old enough. */
  public void expire(long logMillis) {
    while (!finalRecords.isEmpty()
        && finalRecords.peek().logMillis() + settings.finalJobRetentionMillis() <= logMillis) {
      jobs.remove(finalRecords.remove().job());
    }
  }
}
