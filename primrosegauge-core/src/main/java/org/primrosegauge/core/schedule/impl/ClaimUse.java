package org.primrosegauge.core.schedule.impl;

/** Part of a claimed block that one task of a gang takes. */
record ClaimUse(PinnedBlock block, int piece, int accelerators) {}
