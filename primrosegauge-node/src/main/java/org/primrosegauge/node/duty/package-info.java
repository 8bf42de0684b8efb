/** Threads with one duty each, fed by bounded rings. */
package org.primrosegauge.node.duty;
