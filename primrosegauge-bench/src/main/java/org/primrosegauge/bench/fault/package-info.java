/**
 * Fault run on process level: a seeded schedule, load, a history of what was seen from outside, and
 * a checker that shares no code with the product.
 */
package org.primrosegauge.bench.fault;
