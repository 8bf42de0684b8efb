/**
 * Replays the loads of bad days in virtual time through the real decisions, beside a naive policy.
 */
package org.primrosegauge.bench.load;
