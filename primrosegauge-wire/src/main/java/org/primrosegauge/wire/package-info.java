/** MessagePack frames and JSON mapping of the messages that primrosegauge processes exchange. */
package org.primrosegauge.wire;
