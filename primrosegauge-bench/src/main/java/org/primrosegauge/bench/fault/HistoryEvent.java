package org.primrosegauge.bench.fault;

/**
 * One line of the driver's history.
 *
 * @param sentMillis wall time at which the request was sent, in milliseconds
 * @param wallMillis wall time at which its answer arrived, in milliseconds
 * @param kind what was asked
 * @param subject job, failure domain or instance
 * @param instance instance that was asked
 * @param status HTTP status; 0 when there was no answer
 * @param state phase of the job, or state of the order
 * @param revision revision named by the answer; -1 for none
 * @param content what was sent, abridged
 * @since 0.1
 */
public record HistoryEvent(
    long sentMillis,
    long wallMillis,
    Kind kind,
    String subject,
    String instance,
    int status,
    String state,
    long revision,
    String content) {

  /** What was asked. */
  public enum Kind {
    /** A job was submitted; content is "tasks repeatable". */
    SUBMIT,
    /** A job was asked for. */
    SHOW,
    /** A configuration was applied; content is what was sent. */
    CONFIGURE,
    /** The summary of an instance was asked for. */
    STATUS,
    /** A failure domain was taken out. */
    OUT,
    /** A failure domain was taken in. */
    IN,
    /** A fault of the schedule; content is its action. */
    FAULT
  }
}
