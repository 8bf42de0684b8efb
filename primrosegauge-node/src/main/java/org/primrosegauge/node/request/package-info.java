/**
 * Service requests on the network: callers and executors over HTTP, peers over TCP, and the duty
 * that owns the {@link org.primrosegauge.core.request.RequestRouter}.
 */
package org.primrosegauge.node.request;
