package org.primrosegauge.core.keeper;

import java.util.List;
import java.util.stream.Stream;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.InstanceId;

/**
 * Whole recorded state of one office, as it goes into a snapshot of the replicated log.
 *
 * @param office what the instances are told
 * @param grantedUntilMillis end of the lease by the quorum, in log time
 * @param acknowledgements instances that acknowledged the pending set, sorted
 * @since 0.1
 */
public record KeeperOfficeState(
    KeeperOffice office, long grantedUntilMillis, List<InstanceId> acknowledgements) {

  /**
   * Returns the state of a domain that has never been configured.
   *
   * @since 0.1
   */
  public static KeeperOfficeState vacant(FailureDomainId domain) {
    return new KeeperOfficeState(KeeperOffice.vacant(domain), Long.MIN_VALUE, List.of());
  }

  KeeperOfficeState withOffice(KeeperOffice other) {
    return new KeeperOfficeState(other, grantedUntilMillis, acknowledgements);
  }

  KeeperOfficeState withGrantedUntil(long logMillis) {
    return new KeeperOfficeState(office, Math.max(grantedUntilMillis, logMillis), acknowledgements);
  }

  KeeperOfficeState withSets(SetView sets) {
    KeeperOffice changed = new KeeperOffice(office.domain(), office.term(), office.holder(), sets);
    return new KeeperOfficeState(changed, grantedUntilMillis, List.of());
  }

  KeeperOfficeState withAcknowledgement(InstanceId instance) {
    List<InstanceId> all =
        Stream.concat(acknowledgements.stream(), Stream.of(instance)).sorted().distinct().toList();
    return new KeeperOfficeState(office, grantedUntilMillis, all);
  }

  KeeperOfficeState withPendingInForce() {
    return withSets(new SetView(office.sets().pending(), InstanceSet.NONE));
  }
}
