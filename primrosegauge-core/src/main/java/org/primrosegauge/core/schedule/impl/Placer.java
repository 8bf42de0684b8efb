package org.primrosegauge.core.schedule.impl;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.ToIntFunction;
import org.primrosegauge.core.job.JobSpec;
import org.primrosegauge.core.schedule.cfg.WorkerChoice;
import org.primrosegauge.core.site.Adjacency;

/**
 * Finds workers for a gang of equal tasks. The room on each worker is given as a number of tasks,
 * so the same search serves free capacity and capacity that can be taken back.
 *
 * <p>Stateless between calls.
 */
final class Placer {

  private record Candidate(Worker worker, int slots, int rackSlots) {}

  private final Fleet fleet;

  Placer(Fleet fleet) {
    this.fleet = fleet;
  }

  /** Returns one worker a task of a gang, or nothing when it does not fit. */
  Optional<List<Worker>> place(Gang gang, ToIntFunction<Worker> room, WorkerChoice choice) {
    JobSpec job = gang.spec;
    return place(job.tasks(), job.adjacency(), job.adjacencyRequired(), room, choice);
  }

  /** Returns one worker a task, or nothing when the gang does not fit. */
  Optional<List<Worker>> place(
      int tasks,
      Adjacency adjacency,
      boolean required,
      ToIntFunction<Worker> room,
      WorkerChoice choice) {
    if (adjacency == Adjacency.WORKER) {
      Optional<List<Worker>> found = inOneWorker(tasks, room, choice);
      if (found.isPresent() || required) {
        return found;
      }
    }
    if (adjacency != Adjacency.DOMAIN) {
      Optional<List<Worker>> found = inOneRack(tasks, room, choice);
      if (found.isPresent() || required) {
        return found;
      }
    }
    return fill(tasks, candidates(room), choice);
  }

  /** Returns the groups of workers within one of which a gang has to lie. */
  List<List<Worker>> ranges(Gang gang) {
    List<List<Worker>> ranges = new ArrayList<>();
    boolean required = gang.spec.adjacencyRequired();
    if (required && gang.spec.adjacency() == Adjacency.WORKER) {
      fleet.workers().forEach(worker -> ranges.add(List.of(worker)));
    } else if (required && gang.spec.adjacency() == Adjacency.RACK) {
      ranges.addAll(fleet.racks());
    } else {
      ranges.add(List.copyOf(fleet.workers()));
    }
    return ranges;
  }

  private Optional<List<Worker>> inOneWorker(
      int tasks, ToIntFunction<Worker> room, WorkerChoice choice) {
    List<Candidate> fitting = new ArrayList<>();
    for (Candidate candidate : candidates(room)) {
      if (candidate.slots() >= tasks) {
        fitting.add(candidate);
      }
    }
    return fill(tasks, fitting, choice);
  }

  private Optional<List<Worker>> inOneRack(
      int tasks, ToIntFunction<Worker> room, WorkerChoice choice) {
    List<Candidate> best = null;
    long bestCost = Long.MAX_VALUE;
    for (List<Worker> rack : fleet.racks()) {
      List<Candidate> candidates = rackCandidates(rack, room);
      int slots = candidates.isEmpty() ? 0 : candidates.get(0).rackSlots();
      long cost = slots >= tasks ? choice.cost(slots, tasks, slots) : Long.MAX_VALUE;
      if (cost < bestCost) {
        best = candidates;
        bestCost = cost;
      }
    }
    return best == null ? Optional.empty() : fill(tasks, best, choice);
  }

  private List<Candidate> candidates(ToIntFunction<Worker> room) {
    List<Candidate> all = new ArrayList<>();
    for (List<Worker> rack : fleet.racks()) {
      all.addAll(rackCandidates(rack, room));
    }
    return all;
  }

  private static List<Candidate> rackCandidates(
      Collection<Worker> rack, ToIntFunction<Worker> room) {
    int[] slots = new int[rack.size()];
    long rackSlots = 0;
    int at = 0;
    for (Worker worker : rack) {
      slots[at] = room.applyAsInt(worker);
      rackSlots += slots[at++];
    }
    int sum = (int) Math.min(rackSlots, Integer.MAX_VALUE);
    List<Candidate> candidates = new ArrayList<>();
    at = 0;
    for (Worker worker : rack) {
      if (slots[at] > 0) {
        candidates.add(new Candidate(worker, slots[at], sum));
      }
      at++;
    }
    return candidates;
  }

  /** Takes the cheapest worker again and again until every task has one. */
  private static Optional<List<Worker>> fill(
      int tasks, List<Candidate> candidates, WorkerChoice choice) {
    long room = 0;
    for (Candidate candidate : candidates) {
      room += candidate.slots();
    }
    if (room < tasks) {
      return Optional.empty();
    }
    List<Worker> placed = new ArrayList<>(tasks);
    boolean[] used = new boolean[candidates.size()];
    while (placed.size() < tasks) {
      int best = cheapest(tasks - placed.size(), candidates, used, choice);
      used[best] = true;
      Candidate candidate = candidates.get(best);
      int taken = Math.min(candidate.slots(), tasks - placed.size());
      for (int i = 0; i < taken; i++) {
        placed.add(candidate.worker());
      }
    }
    return Optional.of(placed);
  }

  private static int cheapest(
      int wanted, List<Candidate> candidates, boolean[] used, WorkerChoice choice) {
    int best = -1;
    long bestCost = Long.MAX_VALUE;
    for (int i = 0; i < used.length; i++) {
      Candidate candidate = candidates.get(i);
      long cost =
          used[i] ? Long.MAX_VALUE : choice.cost(candidate.slots(), wanted, candidate.rackSlots());
      if (cost < bestCost) {
        best = i;
        bestCost = cost;
      }
    }
    return best;
  }
}
