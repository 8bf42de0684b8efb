/** Puts the parts of an instance together and runs them. */
package org.primrosegauge.node.daemon;
