/**
 * The scheduling scope in a process: at instances with a disk the replicated ledger and, at the
 * leader, the scheduler; at every instance the way to the leader.
 */
package org.primrosegauge.node.scope;
