/** Settings of the scope scheduler. */
package org.primrosegauge.core.scope.cfg;
