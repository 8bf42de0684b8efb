package org.primrosegauge.operator;

import org.primrosegauge.core.CustomerId;
import org.primrosegauge.core.site.Customer;

/**
 * Quota and weight of a customer. One use by one thread.
 *
 * @since 0.1
 */
public final class CustomerParts {

  private final CustomerId id;
  private int quota;
  private int share = 1;

  CustomerParts(CustomerId id) {
    this.id = id;
  }

  /**
   * Sets the most accelerators that the customer may hold on the whole site.
   *
   * @since 0.1
   */
  public CustomerParts atMostAccelerators(int number) {
    quota = number;
    return this;
  }

  /**
   * Sets the weight of the customer's requests under overload; 1 when not set.
   *
   * @since 0.1
   */
  public CustomerParts requestShare(int weight) {
    share = weight;
    return this;
  }

  Customer build() {
    return new Customer(id, quota, share);
  }
}
