/** Benchmarks; each prints one JSON line a figure. */
package org.primrosegauge.bench;
