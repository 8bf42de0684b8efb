/**
 * Durable storage of a replica: a journal of append-only segments and snapshots in one data folder.
 *
 * <p>{@link org.primrosegauge.node.journal.Journal} is the entry point.
 */
package org.primrosegauge.node.journal;
