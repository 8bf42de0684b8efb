/**
 * Replicated log: the instances with disks agree on one order of commands by the Raft algorithm.
 *
 * <p>{@link org.primrosegauge.core.log.LogReplica} is the entry point. It takes events together
 * with the current time and returns actions, which the node performs.
 *
 * <p>Sources: D. Ongaro, J. Ousterhout, "In Search of an Understandable Consensus Algorithm",
 * USENIX ATC 2014; for pre-vote, leader leases and single-server membership changes, D. Ongaro,
 * "Consensus: Bridging Theory and Practice", Stanford 2014.
 */
package org.primrosegauge.core.log;
