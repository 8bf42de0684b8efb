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
  LEADER_LOST,
  /** The kinds of jobs of a large site on 246 workers; urgent ones come in a burst. */
  LARGE_BURST(246),
  /** The same with a quarter more traffic, on 370 workers in six failure domains. */
  LARGE_FULL(370),
  /** One of six failure domains loses power during the burst. */
  LARGE_DOMAIN_LOST(370),
  /** An eighth of the workers is taken away at two seconds' notice during the burst. */
  LARGE_SPOT_LOST(246),
  /** A sixth of the workers and the leader are cut off during the burst. */
  LARGE_CUT(246);

  private static final int SMALL_WORKERS = 33;

  private final int workers;

  LoadPattern() {
    this(SMALL_WORKERS);
  }

  LoadPattern(int workers) {
    this.workers = workers;
  }

  /** Returns the fleet that it is played on. */
  LoadFleet fleet() {
    return isLarge() ? LoadFleet.large(workers) : LoadFleet.SMALL;
  }

  /** Tells whether it is played on a large fleet. */
  boolean isLarge() {
    return workers > SMALL_WORKERS;
  }
}
