/** Time that one decision of the scheduler takes. */
package org.primrosegauge.bench.placement;
