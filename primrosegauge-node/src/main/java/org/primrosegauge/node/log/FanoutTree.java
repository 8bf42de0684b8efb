package org.primrosegauge.node.log;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.TreeSet;
import org.primrosegauge.core.InstanceId;

/**
 * Tree by which instances that are not voters receive updates. The voters are the roots. The others
 * fill the levels below in the order of their ids, so that each instance serves at most {@link
 * #FANOUT} others and all instances derive the same tree from the same settings.
 *
 * @param voters roots of the tree
 * @param followers all other instances, in the order of their ids
 * @since 0.1
 */
record FanoutTree(List<InstanceId> voters, List<InstanceId> followers) {

  /** Maximum number of children of one instance. */
  static final int FANOUT = 3;

  /** Creates the tree. */
  static FanoutTree of(Collection<InstanceId> voters, Collection<InstanceId> others) {
    TreeSet<InstanceId> roots = new TreeSet<>(voters);
    TreeSet<InstanceId> followers = new TreeSet<>(others);
    followers.removeAll(roots);
    return new FanoutTree(List.copyOf(roots), List.copyOf(followers));
  }

  /** Returns the instance that a follower asks first; null if there is no voter. */
  InstanceId parent(InstanceId follower) {
    int position = followers.indexOf(follower);
    if (position < 0 || voters.isEmpty()) {
      return null;
    }
    int parent = position / FANOUT;
    return parent < voters.size() ? voters.get(parent) : followers.get(parent - voters.size());
  }

  /**
   * Returns the instances to ask, in order of preference: the parent, the voters, then the
   * neighbours.
   */
  List<InstanceId> sources(InstanceId follower, Collection<InstanceId> neighbours) {
    List<InstanceId> sources = new ArrayList<>();
    InstanceId parent = parent(follower);
    if (parent != null) {
      sources.add(parent);
    }
    // Followers start at different voters to spread the load over them.
    int first = Math.max(0, followers.indexOf(follower));
    for (int i = 0; i < voters.size(); i++) {
      sources.add(voters.get((first + i) % voters.size()));
    }
    sources.addAll(neighbours);
    sources.remove(follower);
    return sources.stream().distinct().toList();
  }
}
