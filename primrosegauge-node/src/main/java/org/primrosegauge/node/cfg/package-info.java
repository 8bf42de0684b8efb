/** Settings of one instance and their reader. */
package org.primrosegauge.node.cfg;
