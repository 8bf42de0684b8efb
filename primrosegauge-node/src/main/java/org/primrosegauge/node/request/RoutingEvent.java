package org.primrosegauge.node.request;

/**
 * Events of the request path that have a counter besides those of the router.
 *
 * @since 0.1
 */
public enum RoutingEvent {
  /** A request was refused because the ring of the routing duty is full. */
  RING_FULL,
  /** A request was refused because too many bytes of bodies are held. */
  BODIES_FULL,
  /** An executor of a service that is not configured announced itself. */
  UNKNOWN_SERVICE,
  /** A peer answered with another request or attempt than was asked for. */
  MISMATCHED_PEER_ANSWER
}
