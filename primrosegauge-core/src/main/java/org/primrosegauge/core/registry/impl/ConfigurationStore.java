package org.primrosegauge.core.registry.impl;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.registry.AcceptedConfiguration;
import org.primrosegauge.core.registry.HistoryEntry;
import org.primrosegauge.core.registry.RegistryCommand.ApplyConfiguration;
import org.primrosegauge.core.registry.RegistryResult;
import org.primrosegauge.core.registry.RegistryResult.ConfigurationAccepted;
import org.primrosegauge.core.registry.RegistryResult.DomainSwitched;
import org.primrosegauge.core.registry.RegistryResult.RevisionConflict;
import org.primrosegauge.core.registry.RegistrySnapshot;
import org.primrosegauge.core.registry.cfg.RegistrySettings;
import org.primrosegauge.core.site.DomainSwitch;

/**
 * Accepted configuration, its history, and the domain switches in force.
 *
 * <p>Single-threaded; a registry creates a new store when it restores a snapshot.
 *
 * @since 0.1
 */
public final class ConfigurationStore {

  private final RegistrySettings settings;
  private final Deque<HistoryEntry> history;
  private final Map<FailureDomainId, DomainSwitch> switches = new TreeMap<>();
  private AcceptedConfiguration accepted;

  /** Creates a store with the contents of a snapshot. */
  public ConfigurationStore(RegistrySettings settings, RegistrySnapshot snapshot) {
    this.settings = settings;
    this.accepted = snapshot.configuration();
    this.history = new ArrayDeque<>(snapshot.history());
    snapshot.switches().forEach(each -> switches.put(each.domain(), each));
  }

  /** Returns the accepted configuration. */
  public AcceptedConfiguration accepted() {
    return accepted;
  }

  /** Returns the accepted changes, oldest first. */
  public List<HistoryEntry> history() {
    return List.copyOf(history);
  }

  /** Returns the domain switches, ordered by domain. */
  public List<DomainSwitch> switches() {
    return List.copyOf(switches.values());
  }

  /** Replaces the configuration if the command expects the currently accepted revision. */
  public RegistryResult apply(ApplyConfiguration command, long logMillis) {
    if (!command.expectedRevision().equals(accepted.revision())) {
      return new RevisionConflict(
          command.expectedRevision(), accepted.revision(), accepted.digest());
    }
    accepted =
        new AcceptedConfiguration(accepted.revision().next(), command.digest(), command.content());
    history.addLast(
        new HistoryEntry(
            accepted.revision(),
            accepted.digest(),
            command.operator(),
            command.requestId(),
            logMillis));
    if (history.size() > settings.maxHistory()) {
      history.removeFirst();
    }
    return new ConfigurationAccepted(accepted.revision(), accepted.digest());
  }

  /** Merges a domain switch with the one in force, if there is one. */
  public RegistryResult apply(DomainSwitch submitted) {
    DomainSwitch winner = switches.merge(submitted.domain(), submitted, DomainSwitch::merge);
    return new DomainSwitched(winner, winner.equals(submitted));
  }
}
