/** Settings of the request router. */
package org.primrosegauge.core.request.cfg;
