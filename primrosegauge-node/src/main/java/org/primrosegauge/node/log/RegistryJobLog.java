package org.primrosegauge.node.log;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.job.LedgerRecord;
import org.primrosegauge.core.registry.JobRecord;
import org.primrosegauge.core.registry.RegistryCommand;
import org.primrosegauge.core.registry.RegistryResult;
import org.primrosegauge.node.keeper.JobLog;
import org.primrosegauge.wire.WireMappers;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.publisher.Mono;

/**
 * {@link JobLog} that stores job records in the registry.
 *
 * <p>Thread-safe.
 *
 * @since 0.1
 */
public final class RegistryJobLog implements JobLog {

  private static final Logger LOG = LoggerFactory.getLogger(RegistryJobLog.class);

  private final ObjectMapper mapper = WireMappers.messagePack();
  private final RegistryService registry;

  /**
   * Creates a job log on a registry.
   *
   * @since 0.1
   */
  public RegistryJobLog(RegistryService registry) {
    this.registry = registry;
  }

  @Override
  public Mono<Boolean> put(LedgerRecord record) {
    long version = record.stamp().packed();
    return registry
        .propose(
            new RegistryCommand.PutJob(
                record.home(), record.spec().id(), version, record.isFinal(), write(record)))
        .ofType(RegistryResult.JobRecorded.class)
        .map(result -> result.isRecorded() || result.version() == version);
  }

  @Override
  public Mono<List<LedgerRecord>> records(FailureDomainId domain) {
    return registry.jobs(domain).map(this::readAll);
  }

  private byte[] write(LedgerRecord record) {
    try {
      return mapper.writeValueAsBytes(record);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("job record cannot be serialized", e);
    }
  }

  private List<LedgerRecord> readAll(List<JobRecord> stored) {
    List<LedgerRecord> records = new ArrayList<>();
    for (JobRecord job : stored) {
      try {
        records.add(mapper.readValue(job.payload(), LedgerRecord.class));
      } catch (IOException e) {
        LOG.error(
            "record of job {} in the registry cannot be deserialized; skipping it", job.job(), e);
      }
    }
    return records;
  }
}
