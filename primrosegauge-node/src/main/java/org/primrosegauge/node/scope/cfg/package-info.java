/** Settings of the scheduling scope in a process. */
package org.primrosegauge.node.scope.cfg;
