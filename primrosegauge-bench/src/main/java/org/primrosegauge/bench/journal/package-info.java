/** Benchmark of the journal. */
package org.primrosegauge.bench.journal;
