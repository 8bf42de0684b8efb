package org.primrosegauge.core.scope;

import java.util.List;
import org.primrosegauge.core.CustomerId;

/**
 * A customer of the scope.
 *
 * @param id customer
 * @param keys keys that its callers may show
 * @param guaranteedAccelerators accelerators that its jobs of priority 0 may claim at any time
 * @since 0.2
 */
public record CustomerSpec(CustomerId id, List<String> keys, int guaranteedAccelerators) {

  /** Copies the list. */
  public CustomerSpec {
    keys = List.copyOf(keys);
  }
}
