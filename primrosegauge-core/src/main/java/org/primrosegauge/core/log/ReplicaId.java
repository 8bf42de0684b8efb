package org.primrosegauge.core.log;

import java.util.Objects;
import org.primrosegauge.core.InstanceId;

/**
 * Identifies a replica: an instance together with its data folder. Votes and acknowledgements are
 * counted per replica, never per instance, because an instance that lost its disk no longer has the
 * state that they stand for.
 *
 * @param instance instance that runs the replica
 * @param storage id of the data folder of the instance
 * @since 0.1
 */
public record ReplicaId(InstanceId instance, StorageId storage) {

  /** Rejects missing components. */
  public ReplicaId {
    Objects.requireNonNull(instance);
    Objects.requireNonNull(storage);
  }

  @Override
  public String toString() {
    return instance + "/" + storage;
  }
}
