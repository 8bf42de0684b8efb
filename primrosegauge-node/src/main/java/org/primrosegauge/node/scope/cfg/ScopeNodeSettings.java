package org.primrosegauge.node.scope.cfg;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.scope.cfg.ScopeSettings;

/**
 * Settings of one instance of a scope. Instances are named by their IP number, so that an id alone
 * tells where an instance is reached.
 *
 * @param self IP number of this instance
 * @param peerPort port for other instances, equal on all of them
 * @param dataFolder folder for the log; empty for an instance that keeps none
 * @param seeds instances with a log that are asked first
 * @param isFirstStart whether the scope starts for the first time, with empty folders everywhere
 * @param targetVoters number of voters that the log keeps
 * @param retentionMillis how long a job that has ended stays known, in milliseconds
 * @param scheduling settings of the scheduler
 * @since 0.2
 */
public record ScopeNodeSettings(
    InstanceId self,
    int peerPort,
    Optional<Path> dataFolder,
    List<InstanceId> seeds,
    boolean isFirstStart,
    int targetVoters,
    long retentionMillis,
    ScopeSettings scheduling) {

  /** Copies the list. */
  public ScopeNodeSettings {
    seeds = List.copyOf(seeds);
  }
}
