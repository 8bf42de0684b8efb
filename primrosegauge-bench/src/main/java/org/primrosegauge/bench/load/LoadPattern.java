package org.primrosegauge.bench.load;

/**
 * A load that makes scheduling hard.
 *
 * @since 0.3
 */
public enum LoadPattern {
  /** The usual mix at about half of what the fleet can do. */
  CALM,
  /** Two and a half times as many urgent jobs for six seconds, on a busy fleet. */
  URGENT_BURST,
  /** Three times as many wide steps of the lowest priority for four seconds. */
  WIDE_STEPS,
  /** Gangs of whole workers, each about a quarter of the fleet, on a busy fleet. */
  WIDE_GANGS,
  /** A third of all jobs is cancelled within seconds. */
  CANCEL_WAVE,
  /** A tenth of the jobs can never be done: each run fails. */
  POISON,
  /** A sixth of the workers crashes or is cut off for seconds, one after the other. */
  WORKERS_LOST,
  /** A sixth of the workers takes four times as long for everything. */
  WORKERS_SLOW,
  /** On a sixth of the workers all tasks stand still for five seconds. */
  WORKERS_STALLED,
  /** A sixth of the workers fails all that it starts for five seconds. */
  WORKERS_FAILING,
  /** Nobody leads for two seconds, three times. */
  LEADER_LOST
}
