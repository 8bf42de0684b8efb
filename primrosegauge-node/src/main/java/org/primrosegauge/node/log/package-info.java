/** The replicated log of an instance: its duty, its storage, and access to it from everywhere. */
package org.primrosegauge.node.log;
