package org.primrosegauge.core.scope;

import java.util.List;
import org.primrosegauge.core.CustomerId;

/**
 * Configuration of a customer.
 *
 * @param id id of the customer
 * @param keys API keys with which its callers authenticate
 * @param guaranteedAccelerators number of accelerators that its jobs of priority 0 may claim at any
 *     time
 * @since 0.2
 */
public record CustomerSpec(CustomerId id, List<String> keys, int guaranteedAccelerators) {

  /** Makes a defensive copy of the keys. */
  public CustomerSpec {
    keys = List.copyOf(keys);
  }
}
