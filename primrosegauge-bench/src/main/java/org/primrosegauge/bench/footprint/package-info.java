/** Measures what running instances take: resident memory, processor share, bytes a second. */
package org.primrosegauge.bench.footprint;
