package org.primrosegauge.core.scope;

import java.util.AbstractList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Immutable list of queues, indexed by name. If names are equal, the first queue is found. */
final class QueueList extends AbstractList<QueueSpec> {

  private final List<QueueSpec> queues;
  private final Map<QueueName, QueueSpec> byName = new HashMap<>();

  QueueList(List<QueueSpec> queues) {
    this.queues = List.copyOf(queues);
    for (QueueSpec queue : this.queues) {
      byName.putIfAbsent(queue.name(), queue);
    }
  }

  @Override
  public QueueSpec get(int index) {
    return queues.get(index);
  }

  @Override
  public int size() {
    return queues.size();
  }

  Optional<QueueSpec> find(QueueName name) {
    return Optional.ofNullable(byName.get(name));
  }
}
