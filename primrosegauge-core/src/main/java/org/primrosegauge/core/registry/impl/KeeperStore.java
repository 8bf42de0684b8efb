package org.primrosegauge.core.registry.impl;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.Term;
import org.primrosegauge.core.registry.KeeperOffice;
import org.primrosegauge.core.registry.RegistryCommand.AcquireKeeper;
import org.primrosegauge.core.registry.RegistryCommand.RenewKeeper;
import org.primrosegauge.core.registry.RegistryResult;
import org.primrosegauge.core.registry.RegistryResult.KeeperGranted;
import org.primrosegauge.core.registry.RegistryResult.KeeperRefused;
import org.primrosegauge.core.registry.RegistrySnapshot;

/**
 * Keepers of the failure domains. Every office gets a term later than all before it in its domain.
 *
 * <p>Single-threaded; lives as long as its registry.
 *
 * @since 0.1
 */
public final class KeeperStore {

  private final Map<FailureDomainId, KeeperOffice> offices = new TreeMap<>();

  /** Creates the store that a snapshot holds. */
  public KeeperStore(RegistrySnapshot snapshot) {
    snapshot.keepers().forEach(office -> offices.put(office.domain(), office));
  }

  /** Returns the offices by domain. */
  public List<KeeperOffice> offices() {
    return List.copyOf(offices.values());
  }

  /** Returns a domain's office; null when it never had one. */
  public KeeperOffice find(FailureDomainId domain) {
    return offices.get(domain);
  }

  /** Grants the office when it is free, or to its holder under a new term. */
  public RegistryResult apply(AcquireKeeper command, long logMillis) {
    KeeperOffice present = offices.get(command.domain());
    boolean isTaken = present != null && logMillis < present.expiryLogMillis();
    if (isTaken && !present.holder().equals(command.instance())) {
      return new KeeperRefused(present, present.expiryLogMillis() - logMillis);
    }
    Term term = present == null ? Term.NONE.next() : present.term().next();
    offices.put(
        command.domain(),
        new KeeperOffice(
            command.domain(), command.instance(), term, logMillis + command.leaseMillis()));
    return new KeeperGranted(term, command.leaseMillis());
  }

  /** Renews the office for its holder, also when it ran out and nobody took it since. */
  public RegistryResult apply(RenewKeeper command, long logMillis) {
    KeeperOffice present = offices.get(command.domain());
    boolean isHolder =
        present != null
            && present.holder().equals(command.instance())
            && present.term().equals(command.term());
    if (!isHolder) {
      long remaining = present == null ? 0 : Math.max(0, present.expiryLogMillis() - logMillis);
      return new KeeperRefused(present, remaining);
    }
    offices.put(
        command.domain(),
        new KeeperOffice(
            command.domain(),
            command.instance(),
            command.term(),
            logMillis + command.leaseMillis()));
    return new KeeperGranted(command.term(), command.leaseMillis());
  }
}
