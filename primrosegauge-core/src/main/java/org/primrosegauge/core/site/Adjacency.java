package org.primrosegauge.core.site;

/**
 * How close together accelerators lie, nearest first.
 *
 * @since 0.1
 */
public enum Adjacency {
  /** All in one worker. */
  WORKER,
  /** All in one rack. */
  RACK,
  /** All in one failure domain. */
  DOMAIN
}
