/**
 * The replicated log: agreement among the instances with disks on one order of commands, after the
 * Raft algorithm.
 *
 * <p>{@link org.primrosegauge.core.log.LogReplica} is the entry point. It takes events and the
 * present and returns actions; the node carries them out.
 *
 * <p>Source: D. Ongaro, J. Ousterhout, "In Search of an Understandable Consensus Algorithm", USENIX
 * ATC 2014; pre-vote, leader leases and single-server membership changes after D. Ongaro,
 * "Consensus: Bridging Theory and Practice", Stanford 2014.
 */
package org.primrosegauge.core.log;
