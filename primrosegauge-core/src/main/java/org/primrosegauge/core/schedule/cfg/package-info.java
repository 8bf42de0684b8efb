/** Settings and policies of the scheduler. */
package org.primrosegauge.core.schedule.cfg;
