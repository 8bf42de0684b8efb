package org.primrosegauge.node.cfg;

/**
 * Time-outs, all in milliseconds.
 *
 * @param leaseMillis life of a lease: the keeper's, a target's and a task's
 * @param heartbeatMillis pause between two heartbeats
 * @param electionMillis silence of the leader after which a voter stands for election
 * @param drainMillis longest wait for work in flight when the instance stops
 * @param connectMillis longest wait for a connection to a peer or target
 * @since 0.1
 */
public record TimeoutSettings(
    long leaseMillis,
    long heartbeatMillis,
    long electionMillis,
    long drainMillis,
    long connectMillis) {

  /** Time-outs that the settings page documents as defaults. */
  public static final TimeoutSettings DEFAULT =
      new TimeoutSettings(2_000, 300, 1_000, 30_000, 1_000);
}
