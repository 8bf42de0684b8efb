package org.primrosegauge.standin.scope;

import java.util.Random;
import org.primrosegauge.core.HostPort;
import org.primrosegauge.core.ServiceId;
import org.primrosegauge.core.TargetId;
import org.primrosegauge.core.scope.WorkerHeartbeat;
import org.primrosegauge.core.scope.WorkerInfo;
import org.primrosegauge.core.scope.WorkerKey;

/** Heartbeats of another writer, any field of which may be that of a worker. */
final class ForeignHeartbeats {

  private ForeignHeartbeats() {}

  /** Lets the leader receive one that imitates a worker, if that is there. */
  static void hear(EmulatedScope world, String name, Random random) {
    EmulatedWorker imitated = world.workers.get(name);
    if (imitated == null) {
      return;
    }
    WorkerInfo own = imitated.info;
    TargetId target = random.nextBoolean() ? own.key().target() : new TargetId("x-77");
    long born = own.key().bornMillis() + random.nextInt(3) - 1;
    HostPort address = random.nextBoolean() ? own.address() : new HostPort("10.9.9.9", 80);
    ServiceId pool = random.nextBoolean() ? own.pool() : new ServiceId("unknown");
    WorkerInfo info =
        new WorkerInfo(
            new WorkerKey(target, born),
            address,
            pool,
            own.domain(),
            own.capacity(),
            own.labels(),
            own.rack());
    if (!info.equals(own)) {
      world.hear(
          new WorkerHeartbeat(info, random.nextInt(1_000), random.nextBoolean(), 0, world.now));
    }
  }
}
