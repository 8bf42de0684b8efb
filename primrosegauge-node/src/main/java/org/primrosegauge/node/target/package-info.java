/** What the instance says to workers and hears from them, over HTTP. */
package org.primrosegauge.node.target;
