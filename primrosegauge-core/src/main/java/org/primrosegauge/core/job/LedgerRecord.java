package org.primrosegauge.core.job;

import java.util.Comparator;
import java.util.Optional;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.Term;

/**
 * Replicated record of a job, as peers, the log and the workers store it.
 *
 * <p>Two records of a job merge to one: a final record wins over one that is not final, the earlier
 * of two final records wins, and otherwise the record with the later stamp wins. The merged record
 * keeps the highest attempt whose start was recorded in either. This makes {@link #merge}
 * commutative, associative and idempotent.
 *
 * @param spec the job as submitted
 * @param home home domain
 * @param transferTo domain that the job is being transferred to; the job is not started in any
 *     domain meanwhile
 * @param stamp version stamp of this record
 * @param attempt attempt number, from 1; 0 before the first
 * @param startedAttempt highest attempt that may have been started; 0 for none
 * @param phase phase of that attempt
 * @param answer final outcome; empty while the job is unfinished
 * @since 0.1
 */
public record LedgerRecord(
    JobSpec spec,
    FailureDomainId home,
    Optional<FailureDomainId> transferTo,
    RecordStamp stamp,
    int attempt,
    int startedAttempt,
    JobPhase phase,
    Optional<FinalOutcome> answer) {

  private static final Comparator<LedgerRecord> TIE_BREAKER =
      Comparator.comparing(LedgerRecord::phase)
          .thenComparingInt(LedgerRecord::attempt)
          .thenComparing(LedgerRecord::home)
          .thenComparing(record -> record.transferTo().map(FailureDomainId::value).orElse(""))
          .thenComparing(record -> record.answer().map(FinalOutcome::detail).orElse(""))
          .thenComparing(record -> record.spec().toString());
  private static final Comparator<LedgerRecord> MERGE_ORDER =
      Comparator.comparing(LedgerRecord::isFinal)
          .thenComparing(LedgerRecord::compareStamps)
          .thenComparing(TIE_BREAKER);

  /** Checks that an outcome is present exactly when the phase is final, with the same phase. */
  public LedgerRecord {
    if (answer.isPresent() != phase.isFinal()
        || answer.filter(outcome -> outcome.phase() != phase).isPresent()) {
      throw new IllegalArgumentException(phase + " does not match answer " + answer);
    }
  }

  /**
   * Tells whether the job has finished.
   *
   * @since 0.1
   */
  public boolean isFinal() {
    return answer.isPresent();
  }

  /**
   * Returns the merge of two records of the same job.
   *
   * @since 0.1
   */
  public LedgerRecord merge(LedgerRecord other) {
    LedgerRecord winner = MERGE_ORDER.compare(this, other) >= 0 ? this : other;
    return winner.withStartedAttempt(Math.max(startedAttempt, other.startedAttempt));
  }

  LedgerRecord withStartedAttempt(int started) {
    return new LedgerRecord(spec, home, transferTo, stamp, attempt, started, phase, answer);
  }

  LedgerRecord withStamp(RecordStamp next) {
    return new LedgerRecord(spec, home, transferTo, next, attempt, startedAttempt, phase, answer);
  }

  LedgerRecord withPhase(int nextAttempt, JobPhase next) {
    return new LedgerRecord(
        spec, home, transferTo, stamp, nextAttempt, startedAttempt, next, Optional.empty());
  }

  LedgerRecord withOutcome(FinalOutcome outcome) {
    return new LedgerRecord(
        spec,
        home,
        Optional.empty(),
        stamp,
        attempt,
        startedAttempt,
        outcome.phase(),
        Optional.of(outcome));
  }

  LedgerRecord withTransferTo(FailureDomainId to) {
    return new LedgerRecord(
        spec, home, Optional.of(to), stamp, attempt, startedAttempt, phase, answer);
  }

  /** Returns the initial record in the new home domain: queued, with one more transfer. */
  LedgerRecord afterTransfer() {
    RecordStamp nextStamp = new RecordStamp(stamp.transfers() + 1, Term.NONE, 0);
    return new LedgerRecord(
        spec,
        transferTo.orElseThrow(),
        Optional.empty(),
        nextStamp,
        attempt,
        startedAttempt,
        JobPhase.QUEUED,
        Optional.empty());
  }

  /**
   * Ranks later stamps higher, but earlier ones among final records, so the first outcome stays.
   */
  private static int compareStamps(LedgerRecord one, LedgerRecord other) {
    int order = one.stamp.compareTo(other.stamp);
    return one.isFinal() ? -order : order;
  }
}
