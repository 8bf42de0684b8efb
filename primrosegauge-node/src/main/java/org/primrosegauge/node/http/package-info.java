/** The HTTP server of an instance and the shape of its answers. */
package org.primrosegauge.node.http;
