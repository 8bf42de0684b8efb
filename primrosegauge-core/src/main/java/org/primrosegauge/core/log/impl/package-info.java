/** Internals of the replicated log; no part of the API. */
package org.primrosegauge.core.log.impl;
