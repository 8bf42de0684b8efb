package org.primrosegauge.core.log;

import java.util.Objects;
import org.primrosegauge.core.InstanceId;

/**
 * Identifies a replica: an instance together with its data folder. Votes and acknowledgements count
 * for a replica, never for an instance alone, because an emptied disk has forgotten them.
 *
 * @param instance instance
 * @param storage data folder of the instance
 * @since 0.1
 */
public record ReplicaId(InstanceId instance, StorageId storage) {

  /** Checks that both parts are present. */
  public ReplicaId {
    Objects.requireNonNull(instance);
    Objects.requireNonNull(storage);
  }

  @Override
  public String toString() {
    return instance + "/" + storage;
  }
}
