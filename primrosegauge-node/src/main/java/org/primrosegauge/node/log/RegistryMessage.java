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
 * Questions about the registry between instances, and their answers.
 *
 * @since 0.1
 */
public sealed interface RegistryMessage {

  /** A question. */
  sealed interface Question extends RegistryMessage {}

  /**
   * Asks a voter to propose a command, or the leader to do so.
   *
   * @param command command, as {@link RegistryCodec} writes it
   */
  record Propose(byte[] command) implements Question {}

  /**
   * Asks for the view of the registry.
   *
   * @param knownVersion version that the asking instance has; 0 for none
   * @param knownRevision configuration that the asking instance has
   */
  record Pull(long knownVersion, Revision knownRevision) implements Question {}

  /**
   * Asks the leader for the history of the configuration.
   *
   * @param most most entries, the latest ones
   */
  record AskHistory(int most) implements Question {}

  /**
   * Asks the leader for the job records of a home domain.
   *
   * @param domain home domain
   */
  record AskJobs(FailureDomainId domain) implements Question {}

  /**
   * Job records.
   *
   * @param jobs records, by job
   */
  record Jobs(List<JobRecord> jobs) implements RegistryMessage {}

  /**
   * The command was applied.
   *
   * @param result result, as {@link RegistryCodec} writes it
   */
  record Applied(byte[] result) implements RegistryMessage {}

  /**
   * The command was not proposed here, or its outcome is not known.
   *
   * @param leader whom to ask instead; null when no leader is known
   * @param outcomeUnknown whether it may still be applied
   */
  record NotApplied(InstanceId leader, boolean outcomeUnknown) implements RegistryMessage {}

  /**
   * The view of the registry.
   *
   * @param version position of the log that it stands for
   * @param revision configuration revision
   * @param digest digest of the configuration
   * @param content configuration, TOML compressed with deflate; null when the asking instance has
   *     it
   * @param switches orders about failure domains
   * @param offices keepers' offices
   */
  record View(
      long version,
      Revision revision,
      String digest,
      byte[] content,
      List<DomainSwitch> switches,
      List<KeeperOffice> offices)
      implements RegistryMessage {}

  /** The asking instance has the latest view that the answering one has. */
  record NothingNew() implements RegistryMessage {}

  /**
   * History of the configuration.
   *
   * @param entries changes, oldest first
   */
  record History(List<HistoryEntry> entries) implements RegistryMessage {}
}
