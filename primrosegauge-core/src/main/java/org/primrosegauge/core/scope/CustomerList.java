package org.primrosegauge.core.scope;

import java.util.AbstractList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.primrosegauge.core.CustomerId;

/**
 * Immutable list of customers, indexed by id and by API key. If ids or keys are equal, the first
 * customer is found.
 */
final class CustomerList extends AbstractList<CustomerSpec> {

  private final List<CustomerSpec> customers;
  private final Map<CustomerId, CustomerSpec> byId = new HashMap<>();
  private final Map<String, CustomerSpec> byKey = new HashMap<>();

  CustomerList(List<CustomerSpec> customers) {
    this.customers = List.copyOf(customers);
    for (CustomerSpec customer : this.customers) {
      byId.putIfAbsent(customer.id(), customer);
      customer.keys().forEach(key -> byKey.putIfAbsent(key, customer));
    }
  }

  @Override
  public CustomerSpec get(int index) {
    return customers.get(index);
  }

  @Override
  public int size() {
    return customers.size();
  }

  Optional<CustomerSpec> find(CustomerId id) {
    return Optional.ofNullable(byId.get(id));
  }

  Optional<CustomerSpec> findByKey(String key) {
    return Optional.ofNullable(byKey.get(key));
  }
}
