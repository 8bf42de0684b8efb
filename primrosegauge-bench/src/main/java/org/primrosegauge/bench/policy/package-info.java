/** What the scheduling policies achieve, in virtual time. */
package org.primrosegauge.bench.policy;
