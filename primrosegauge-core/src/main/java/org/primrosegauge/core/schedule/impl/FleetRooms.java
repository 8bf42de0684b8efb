package org.primrosegauge.core.schedule.impl;

import java.util.ArrayList;
import java.util.List;

/** Room for guaranteed blocks on each worker of a fleet, in the form that the packer takes. */
final class FleetRooms {

  final List<Worker> workers = new ArrayList<>();
  private final int[] room;
  private final int[] rackOf;
  private final int whole;
  private ShapePacker packer;

  private FleetRooms(Fleet fleet) {
    int size = fleet.workers().size();
    room = new int[size];
    rackOf = new int[size];
    int largest = 0;
    int rackIndex = 0;
    for (List<Worker> rack : fleet.racks()) {
      for (Worker worker : rack) {
        room[workers.size()] = worker.acceptsWork() ? Math.max(0, worker.firmRoom()) : 0;
        rackOf[workers.size()] = rackIndex;
        workers.add(worker);
        largest = Math.max(largest, worker.capacity.accelerators());
      }
      rackIndex++;
    }
    whole = largest;
  }

  static FleetRooms of(Fleet fleet) {
    return new FleetRooms(fleet);
  }

  int whole() {
    return whole;
  }

  ShapePacker.Packing pack(List<Block> blocks) {
    packer = new ShapePacker(room, rackOf, whole);
    return packer.pack(blocks);
  }

  /** Returns the room that the last packing left on each worker. */
  int[] roomLeft() {
    return packer.roomLeft();
  }
}
