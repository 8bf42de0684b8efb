/** Counters of an instance, in Prometheus text. */
package org.primrosegauge.node.metrics;
