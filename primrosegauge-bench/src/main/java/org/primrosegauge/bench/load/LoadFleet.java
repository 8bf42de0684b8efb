package org.primrosegauge.bench.load;

import java.util.ArrayList;
import java.util.List;
import org.primrosegauge.core.CustomerId;
import org.primrosegauge.core.Revision;
import org.primrosegauge.core.ServiceId;
import org.primrosegauge.core.job.Resources;
import org.primrosegauge.core.scope.CustomerSpec;
import org.primrosegauge.core.scope.QueueName;
import org.primrosegauge.core.scope.QueueSpec;
import org.primrosegauge.core.scope.ScopeConfiguration;
import org.primrosegauge.core.scope.StepSpec;
import org.primrosegauge.standin.scope.EmulatedFleet;

/** The fleet, the customers and the queues of all replayed loads. */
final class LoadFleet {

  static final EmulatedFleet FLEET =
      new EmulatedFleet(33, 3, 8, new Resources(64_000, 128 * 1024, 8), 3, 200, 900, true);

  /** Customers with the accelerators that each is guaranteed; the first are the large ones. */
  static final List<CustomerSpec> CUSTOMERS =
      List.of(
          customer("north", 72), customer("east", 48), customer("south", 24), customer("west", 12));

  static final ServiceId POOL = new ServiceId("pool");
  static final int MAX_ATTEMPTS = 3;

  private static final int VISIBLE_MILLIS = 1_000;
  private static final int ROOM_SHARES = 4;

  private LoadFleet() {}

  private static CustomerSpec customer(String name, int accelerators) {
    return new CustomerSpec(new CustomerId(name), List.of("key-" + name), accelerators);
  }

  static ScopeConfiguration configuration() {
    List<QueueSpec> queues = new ArrayList<>();
    for (LoadKind kind : LoadKind.values()) {
      queues.add(
          new QueueSpec(
              new QueueName(kind.queue()),
              "host",
              "/" + kind.queue() + "/",
              POOL,
              kind.priority(),
              MAX_ATTEMPTS,
              kind.slackFactor(),
              kind.latencyMillis(),
              true));
    }
    return new ScopeConfiguration(new Revision(1), queues, CUSTOMERS, VISIBLE_MILLIS);
  }

  /** Returns how many tasks of a step the empty fleet holds. */
  static int capacityFor(StepSpec step) {
    Resources all = FLEET.capacity();
    long most = all.milliCores() / Math.max(1, step.task().milliCores());
    most = Math.min(most, all.memoryMib() / Math.max(1, step.task().memoryMib()));
    most = Math.min(most, all.accelerators() / Math.max(1, step.task().accelerators()));
    return (int) most * FLEET.workers();
  }

  /** Returns in how many waves a step runs that is wider than a quarter of the fleet. */
  static int wavesOf(StepSpec step) {
    int quarter = Math.max(1, capacityFor(step) / ROOM_SHARES);
    return step.gang() ? 1 : (step.count() + quarter - 1) / quarter;
  }
}
