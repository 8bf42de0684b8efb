package org.primrosegauge.node.job;

import java.util.List;
import org.primrosegauge.core.ErrorKind;
import org.primrosegauge.core.JobId;
import org.primrosegauge.core.PrimrosegaugeException;
import org.primrosegauge.core.job.JobSpec;
import org.primrosegauge.core.job.LedgerRecord;
import org.primrosegauge.wire.api.JobView;

/**
 * Questions about jobs that an instance asks a keeper, and the keeper's answers.
 *
 * @since 0.1
 */
public sealed interface JobMessage {

  /** A question. */
  sealed interface Question extends JobMessage {}

  /**
   * Submits a job.
   *
   * @param job job, with its id
   */
  record Submit(JobSpec job) implements Question {}

  /**
   * Cancels a job.
   *
   * @param job id of the job
   */
  record Cancel(JobId job) implements Question {}

  /**
   * Asks where a job stands.
   *
   * @param job id of the job
   */
  record Show(JobId job) implements Question {}

  /**
   * Asks for all jobs of the keeper's domain.
   *
   * @param most most jobs to return
   */
  record ListAll(int most) implements Question {}

  /**
   * Hands a record on to an instance of the same failure domain.
   *
   * @param record record to merge
   */
  record Replicate(LedgerRecord record) implements Question {}

  /**
   * Asks an instance of the same failure domain for the records that it holds, by id of the job.
   *
   * @param after id after which to begin; empty to begin with the first
   * @param most most records to return
   */
  record ReadRecords(String after, int most) implements Question {}

  /**
   * Answers with records.
   *
   * @param records the records, by id; fewer than asked for when there are no more
   */
  record Records(List<LedgerRecord> records) implements JobMessage {}

  /** The record was merged. */
  record Replicated() implements JobMessage {}

  /**
   * Answers with a job.
   *
   * @param job the job
   */
  record Found(JobView job) implements JobMessage {}

  /**
   * Answers with jobs.
   *
   * @param jobs the jobs, by id
   */
  record FoundAll(List<JobView> jobs) implements JobMessage {}

  /**
   * Answers with an error; nothing was changed.
   *
   * @param kind kind of the error
   * @param summary what went wrong
   * @param remedy what to do about it
   */
  record Refused(ErrorKind kind, String summary, String remedy) implements JobMessage {

    /**
     * Creates the answer for an error.
     *
     * @since 0.1
     */
    public static Refused of(PrimrosegaugeException error) {
      return new Refused(error.kind(), error.summary(), error.remedy());
    }

    /**
     * Returns the error that this answer stands for.
     *
     * @since 0.1
     */
    public PrimrosegaugeException toException() {
      return new PrimrosegaugeException(kind, summary, remedy, "");
    }
  }
}
