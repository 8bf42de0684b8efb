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
 * Job records. A record is only replaced by a higher version, and a final record is never replaced.
 *
 * <p>Single-threaded; a registry creates a new store when it restores a snapshot.
 *
 * @since 0.1
 */
public final class JobStore {

  private final RegistrySettings settings;
  private final Map<JobId, JobRecord> jobs = new TreeMap<>();
  private final Queue<JobRecord> finalRecords = new ArrayDeque<>();

  /** Creates a store with the contents of a snapshot. */
  public JobStore(RegistrySettings settings, RegistrySnapshot snapshot) {
    this.settings = settings;
    snapshot.jobs().forEach(record -> jobs.put(record.job(), record));
    snapshot.jobs().stream()
        .filter(JobRecord::isFinal)
        .sorted(Comparator.comparingLong(JobRecord::logMillis))
        .forEach(finalRecords::add);
  }

  /** Returns the records, ordered by job id. */
  public List<JobRecord> jobs() {
    return List.copyOf(jobs.values());
  }

  /** Returns a job's record; null if there is none. */
  public JobRecord find(JobId job) {
    return jobs.get(job);
  }

  /** Records the state unless an equal or higher version, or a final one, is already recorded. */
  public RegistryResult apply(PutJob command, long logMillis) {
    JobRecord existing = jobs.get(command.job());
    if (existing != null && (existing.isFinal() || existing.version() >= command.version())) {
      return new JobRecorded(existing.version(), false);
    }
    if (existing == null && jobs.size() >= settings.maxJobs()) {
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

  /** Removes final records past the retention period. */
  public void expire(long logMillis) {
    while (!finalRecords.isEmpty()
        && finalRecords.peek().logMillis() + settings.finalJobRetentionMillis() <= logMillis) {
      jobs.remove(finalRecords.remove().job());
    }
  }
}
