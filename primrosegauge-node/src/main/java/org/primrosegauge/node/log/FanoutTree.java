package org.primrosegauge.node.log;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.TreeSet;
import org.primrosegauge.core.InstanceId;

/**
 * Whom an instance that is no voter follows. The voters are the roots; the others, in the order of
 * their ids, fill the levels below, so that each instance serves a few others at most and all
 * instances derive the same tree from the same settings.
 *
 * @param voters roots
 * @param followers all others, in the order of their ids
 * @since 0.1
 */
record FanoutTree(List<InstanceId> voters, List<InstanceId> followers) {

  /** Most followers of one instance. */
  static final int FANOUT = 3;

  /** Derives the tree. */
  static FanoutTree of(Collection<InstanceId> voters, Collection<InstanceId> others) {
    TreeSet<InstanceId> roots = new TreeSet<>(voters);
    TreeSet<InstanceId> followers = new TreeSet<>(others);
    followers.removeAll(roots);
    return new FanoutTree(List.copyOf(roots), List.copyOf(followers));
  }

  /** Returns the instance that a follower asks first; null when there is no voter. */
  InstanceId parent(InstanceId follower) {
    int position = followers.indexOf(follower);
    if (position < 0 || voters.isEmpty()) {
      return null;
    }
    int parent = position / FANOUT;
    return parent < voters.size() ? voters.get(parent) : followers.get(parent - voters.size());
  }

  /** Returns the parent, then the voters and other instances to ask in its place. */
  List<InstanceId> sources(InstanceId follower, Collection<InstanceId> neighbours) {
    List<InstanceId> sources = new ArrayList<>();
    InstanceId parent = parent(follower);
    if (parent != null) {
      sources.add(parent);
    }
    // Followers start at different voters, so that these share the load.
    int first = Math.max(0, followers.indexOf(follower));
    for (int i = 0; i < voters.size(); i++) {
      sources.add(voters.get((first + i) % voters.size()));
    }
    sources.addAll(neighbours);
    sources.remove(follower);
    return sources.stream().distinct().toList();
  }
}
