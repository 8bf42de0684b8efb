/**
 * The scheduling scope within a process: a replica of the ledger at instances with a disk, the
 * scheduler at the leader, and a client of the leader at every instance.
 */
package org.primrosegauge.node.scope;
