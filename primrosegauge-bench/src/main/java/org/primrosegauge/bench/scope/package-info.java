/** Measures what the decisions of a scope cost as its fleet grows. */
package org.primrosegauge.bench.scope;
