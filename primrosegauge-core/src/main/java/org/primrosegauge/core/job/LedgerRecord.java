package org.primrosegauge.core.job;

import java.util.Comparator;
import java.util.Optional;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.Term;

/**
 * What is known of a job, as peers, the log and the workers keep it.
 *
 * <p>Two records of a job merge to one: a final one wins over one that is not, the earliest final
 * one over a later, and otherwise the later stamp. Whatever wins, the highest attempt whose start
 * was recorded is kept. This makes {@link #merge} commutative, associative and idempotent.
 *
 * @param spec what was submitted
 * @param home home domain
 * @param transferTo domain that the job is being moved to; the job starts nowhere meanwhile
 * @param stamp position of this version
 * @param attempt attempt number, from 1; 0 before the first
 * @param startedAttempt highest attempt that may have been started; 0 for none
 * @param phase phase of that attempt
 * @param answer final answer, once there is one
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

  /** Checks that phase and answer agree. */
  public LedgerRecord {
    if (answer.isPresent() != phase.isFinal()
        || answer.filter(given -> given.phase() != phase).isPresent()) {
      throw new IllegalArgumentException(phase + " with answer " + answer);
    }
  }

  /**
   * Tells whether the job is over.
   *
   * @since 0.1
   */
  public boolean isFinal() {
    return answer.isPresent();
  }

  /**
   * Returns the record that two records of one job make together.
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

  LedgerRecord withOutcome(FinalOutcome given) {
    return new LedgerRecord(
        spec,
        home,
        Optional.empty(),
        stamp,
        attempt,
        startedAttempt,
        given.phase(),
        Optional.of(given));
  }

  LedgerRecord withTransferTo(FailureDomainId to) {
    return new LedgerRecord(
        spec, home, Optional.of(to), stamp, attempt, startedAttempt, phase, answer);
  }

  /** Returns the record as the new home begins with it. */
  LedgerRecord afterTransfer() {
    RecordStamp moved = new RecordStamp(stamp.transfers() + 1, Term.NONE, 0);
    return new LedgerRecord(
        spec,
        transferTo.orElseThrow(),
        Optional.empty(),
        moved,
        attempt,
        startedAttempt,
        JobPhase.QUEUED,
        Optional.empty());
  }

  /** Later stamps rank higher before the end, earlier ones after it: the first answer stays. */
  private static int compareStamps(LedgerRecord one, LedgerRecord other) {
    int order = one.stamp.compareTo(other.stamp);
    return one.isFinal() ? -order : order;
  }
}
