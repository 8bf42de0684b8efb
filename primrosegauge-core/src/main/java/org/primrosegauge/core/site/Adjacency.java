package org.primrosegauge.core.site;

/**
 * Locality of a group of accelerators, from the closest to the widest.
 *
 * @since 0.1
 */
public enum Adjacency {
  /** All accelerators belong to the same worker. */
  WORKER,
  /** All accelerators belong to the same rack. */
  RACK,
  /** All accelerators belong to the same failure domain. */
  DOMAIN
}
