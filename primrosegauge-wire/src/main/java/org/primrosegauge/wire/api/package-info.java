/** JSON documents of the HTTP interface for callers and operators. */
package org.primrosegauge.wire.api;
