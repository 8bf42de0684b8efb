/** Slopes of state, messages and processor time, for the capacity page. */
package org.primrosegauge.bench.capacity;
