package org.primrosegauge.node.daemon;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.node.cfg.InstanceSettings;
import org.primrosegauge.node.cfg.NodeSettings;
import org.primrosegauge.node.cfg.PeerSettings;

/** The instances of the site as the settings of one of them list them. Immutable. */
final class SiteMembers {

  private final InstanceSettings self;
  private final List<PeerSettings> peers;

  SiteMembers(NodeSettings settings) {
    this.self = settings.instance();
    this.peers = settings.peers().stream().filter(peer -> !peer.id().equals(self.id())).toList();
  }

  /** Returns the instances that keep the log. */
  List<InstanceId> voters() {
    TreeSet<InstanceId> voters = new TreeSet<>();
    if (self.voter()) {
      voters.add(self.id());
    }
    peers.stream().filter(PeerSettings::voter).forEach(peer -> voters.add(peer.id()));
    return List.copyOf(voters);
  }

  /** Returns the other instances of the own failure domain. */
  List<InstanceId> neighbours() {
    return peers.stream()
        .filter(peer -> peer.failureDomain().equals(self.failureDomain()))
        .map(PeerSettings::id)
        .toList();
  }

  /** Returns all other instances. */
  List<InstanceId> others() {
    return peers.stream().map(PeerSettings::id).toList();
  }

  /** Returns the failure domain of each instance, this one included. */
  Map<InstanceId, FailureDomainId> domains() {
    Map<InstanceId, FailureDomainId> domains = new LinkedHashMap<>();
    peers.forEach(peer -> domains.put(peer.id(), peer.failureDomain()));
    domains.put(self.id(), self.failureDomain());
    return domains;
  }
}
