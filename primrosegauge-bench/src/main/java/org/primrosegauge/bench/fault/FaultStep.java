package org.primrosegauge.bench.fault;

/**
 * One step of a fault run's schedule.
 *
 * @param atMillis time since the start of the run, in milliseconds
 * @param action what happens
 * @param subject instance or failure domain that it happens to
 * @since 0.1
 */
public record FaultStep(long atMillis, Action action, String subject) {

  /** What can happen; the launcher carries out those on processes, the driver all others. */
  public enum Action {
    /** SIGKILL. */
    KILL,
    /** SIGKILL, and the data folder is emptied. */
    WIPE,
    /** SIGTERM: a graceful stop under load. */
    TERM,
    /** The process starts again. */
    START,
    /** SIGSTOP. */
    FREEZE,
    /** SIGCONT. */
    THAW,
    /** All links between the failure domain and the others close and stay closed. */
    CUT,
    /** They may open again. */
    HEAL,
    /** An operator takes the failure domain out. */
    OUT,
    /** An operator takes it in. */
    IN,
    /** Two operators change the same revision of the configuration at once. */
    RACE
  }

  @Override
  public String toString() {
    return atMillis + " " + action + " " + subject;
  }
}
