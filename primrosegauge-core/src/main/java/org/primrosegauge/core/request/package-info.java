/**
 * Decisions of one instance about service requests: which executor answers, who waits, what is
 * refused, what is tried again.
 *
 * <p>{@link org.primrosegauge.core.request.RequestRouter} is the state machine; everything else is
 * what goes in and what comes out of it.
 */
package org.primrosegauge.core.request;
