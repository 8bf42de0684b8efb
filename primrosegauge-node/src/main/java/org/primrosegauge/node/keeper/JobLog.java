package org.primrosegauge.node.keeper;

import java.util.List;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.job.LedgerRecord;
import reactor.core.publisher.Mono;

/**
 * Port through which a keeper keeps job records in the replicated log.
 *
 * @since 0.1
 */
public interface JobLog {

  /**
   * Proposes a record.
   *
   * @return whether the log holds exactly this version now
   * @since 0.1
   */
  Mono<Boolean> put(LedgerRecord record);

  /**
   * Returns the records of a home domain.
   *
   * @since 0.1
   */
  Mono<List<LedgerRecord>> records(FailureDomainId domain);
}
