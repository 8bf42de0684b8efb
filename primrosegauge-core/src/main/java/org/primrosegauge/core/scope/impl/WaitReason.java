package org.primrosegauge.core.scope.impl;

/** Why a step that is ready to run was not placed. */
enum WaitReason {
  /** No workers have enough free capacity. */
  CAPACITY,
  /** The only free capacity is withheld as headroom for urgent jobs and gangs. */
  HEADROOM,
  /** The only free capacity is reserved for a gang that is ranked before it. */
  RESERVED,
  /** The step waits for workers that are local to its data or to each other. */
  LOCALITY,
  /** The workers chosen have not yet confirmed that they respond. */
  CONFIRMATION
}
