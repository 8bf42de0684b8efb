/** Measures the request path against requests straight to the executors. */
package org.primrosegauge.bench.routing;
