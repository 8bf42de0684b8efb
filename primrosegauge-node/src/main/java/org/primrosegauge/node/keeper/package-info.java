/** The keeper duty: lease, scheduler and job table of one failure domain. */
package org.primrosegauge.node.keeper;
