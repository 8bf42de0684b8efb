/** Benchmark of how changes reach all instances. */
package org.primrosegauge.bench.replication;
