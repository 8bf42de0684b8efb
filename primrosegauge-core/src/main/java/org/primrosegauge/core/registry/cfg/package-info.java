/** Settings of the registry. */
package org.primrosegauge.core.registry.cfg;
