package org.primrosegauge.node.log;

import java.util.List;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.Revision;
import org.primrosegauge.core.keeper.KeeperOffice;
import org.primrosegauge.core.registry.HistoryEntry;
import org.primrosegauge.core.registry.JobRecord;
import org.primrosegauge.core.site.DomainSwitch;

/**
 * Requests between instances about the registry, and the replies to them.
 *
 * @since 0.1
 */
public sealed interface RegistryMessage {

  /** Request. */
  sealed interface Question extends RegistryMessage {}

  /**
   * Requests that the receiving voter proposes a command.
   *
   * @param command command, serialized by {@link RegistryCodec}
   */
  record Propose(byte[] command) implements Question {}

  /**
   * Requests the current view of the registry.
   *
   * @param knownVersion version that the requesting instance has; 0 if it has none
   * @param knownRevision configuration revision that the requesting instance has
   */
  record Pull(long knownVersion, Revision knownRevision) implements Question {}

  /**
   * Requests the history of the configuration from a voter.
   *
   * @param most maximum number of entries; the latest ones are returned
   */
  record AskHistory(int most) implements Question {}

  /**
   * Requests the job records of a home domain from the leader.
   *
   * @param domain home domain
   */
  record AskJobs(FailureDomainId domain) implements Question {}

  /**
   * * Reply that contains job records.
   *
   * @param jobs job records
   */
  record Jobs(List<JobRecord> jobs) implements RegistryMessage {}

  /**
   * Reply that the command was applied.
   *
   * @param result result, serialized by {@link RegistryCodec}
   */
  record Applied(byte[] result) implements RegistryMessage {}

  /**
   * Reply that the request was not served, or that the outcome of the command is unknown.
   *
   * @param leader instance to ask instead; null if no leader is known
   * @param outcomeUnknown whether the command may still be applied
   */
  record NotApplied(InstanceId leader, boolean outcomeUnknown) implements RegistryMessage {}

  /**
   * Reply that contains the view of the registry.
   *
   * @param version log index that the view corresponds to
   * @param revision configuration revision
   * @param digest digest of the configuration
   * @param content configuration as TOML, compressed with deflate; null if the requesting instance
   *     already has it
   * @param switches operator switches of failure domains
   * @param offices current keeper and keeper term of each failure domain
   */
  record View(
      long version,
      Revision revision,
      String digest,
      byte[] content,
      List<DomainSwitch> switches,
      List<KeeperOffice> offices)
      implements RegistryMessage {}

  /** Reply that the replying instance has no newer view than the requesting one. */
  record NothingNew() implements RegistryMessage {}

  /**
   * Reply that contains the history of the configuration.
   *
   * @param entries configuration changes, oldest first
   */
  record History(List<HistoryEntry> entries) implements RegistryMessage {}
}
