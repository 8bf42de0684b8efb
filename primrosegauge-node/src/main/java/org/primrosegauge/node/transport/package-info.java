/** TCP connections between instances: framed MessagePack messages, one-way or with a reply. */
package org.primrosegauge.node.transport;
