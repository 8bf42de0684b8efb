package org.primrosegauge.node.keeper;

import org.primrosegauge.core.Revision;
import org.primrosegauge.core.Term;

/**
 * What a keeper duty publishes about itself at each tick. Immutable.
 *
 * @param term term under which the instance is in office; {@link Term#NONE} when it is not
 * @param switchInForce revision of the domain's switch that was taken over
 * @param workers workers that hold a lease from this keeper
 * @param freeAccelerators accelerators that no announced task uses
 * @param queuedJobs jobs that wait in the domain
 * @param runningJobs jobs that run in the domain
 * @since 0.1
 */
public record KeeperFigures(
    Term term,
    Revision switchInForce,
    int workers,
    int freeAccelerators,
    int queuedJobs,
    int runningJobs) {

  /** Before the first tick. */
  public static final KeeperFigures NONE = new KeeperFigures(Term.NONE, Revision.NONE, 0, 0, 0, 0);
}
