/** Settings of the keeper's lease. */
package org.primrosegauge.core.keeper.cfg;
