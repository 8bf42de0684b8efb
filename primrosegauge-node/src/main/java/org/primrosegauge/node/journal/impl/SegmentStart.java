package org.primrosegauge.node.journal.impl;

import org.primrosegauge.core.Term;
import org.primrosegauge.core.log.LogIndex;

/**
 * First record of a segment.
 *
 * @param segment number of the segment
 * @param base whether the segment needs no earlier one: it follows a snapshot
 * @param snapshotIndex position of the snapshot that a base follows; 0 when none
 * @param snapshotTerm term of the entry there
 */
record SegmentStart(long segment, boolean base, LogIndex snapshotIndex, Term snapshotTerm) {}
