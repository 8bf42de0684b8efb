package org.primrosegauge.core.keeper;

/**
 * Rules that keep two keepers from existing, each of which the model of the lease can switch off to
 * show that it is needed. Only {@link #ALL} is used outside of tests.
 *
 * @param waitAfterRestart an instance that restarted takes no office for one lease
 * @param grantWhileRecovering an instance that restarted grants at once, before that lease is over
 * @param countFromRequest the holder counts its lease from when it sent the request
 * @param acknowledgeSets a changed instance set waits for acknowledgements
 * @param keepPromise a taker waits until its own promise is over
 * @param endLapsedOffice an office whose lease ran out is not renewed any more
 */
record KeeperRules(
    boolean waitAfterRestart,
    boolean grantWhileRecovering,
    boolean countFromRequest,
    boolean acknowledgeSets,
    boolean keepPromise,
    boolean endLapsedOffice) {

  static final KeeperRules ALL = new KeeperRules(true, false, true, true, true, true);
}
