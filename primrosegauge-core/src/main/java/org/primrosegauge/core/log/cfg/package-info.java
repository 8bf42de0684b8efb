/** Settings of the replicated log. */
package org.primrosegauge.core.log.cfg;
