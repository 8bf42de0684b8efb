/** Settings of the scheduling scope. */
package org.primrosegauge.core.scope.cfg;
