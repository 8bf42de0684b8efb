/** JSON documents that instances and targets exchange over HTTP. */
package org.primrosegauge.wire.target;
