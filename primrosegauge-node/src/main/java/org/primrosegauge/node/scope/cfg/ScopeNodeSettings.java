package org.primrosegauge.node.scope.cfg;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.scope.cfg.ScopeSettings;

/**
 * Settings of one instance of a scope. The id of an instance is its IP address, so that the id
 * alone is enough to connect to it.
 *
 * @param self IP address of this instance
 * @param peerPort port for connections of other instances, the same on all of them
 * @param dataFolder folder of the log; empty for an instance that does not replicate it
 * @param seeds instances that replicate the log and are contacted first
 * @param isFirstStart whether the scope starts for the first time, with empty data folders on all
 *     instances
 * @param targetVoters number of voters that the log maintains
 * @param catchUpMillis time after its start within which an instance that replaces a lost one has
 *     to count as a voter, so that another instance may be lost; in milliseconds
 * @param retentionMillis how long a job is retained after its end, in milliseconds
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
    int catchUpMillis,
    long retentionMillis,
    ScopeSettings scheduling) {

  /** Copies the list. */
  public ScopeNodeSettings {
    seeds = List.copyOf(seeds);
  }
}
