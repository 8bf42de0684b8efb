package org.primrosegauge.core.registry;

import java.util.List;
import org.primrosegauge.core.keeper.KeeperOfficeState;
import org.primrosegauge.core.site.DomainSwitch;

/**
 * Whole state of the registry. Lists have a fixed order, so equal states are equal records.
 *
 * @param logMillis latest log time
 * @param configuration accepted configuration
 * @param history accepted changes, oldest first
 * @param answers answers to operators, oldest first
 * @param switches one for each domain that was ever switched, by domain
 * @param keepers one for each domain that ever had a keeper, by domain
 * @param claims by key
 * @param jobs by job
 * @since 0.1
 */
public record RegistrySnapshot(
    long logMillis,
    AcceptedConfiguration configuration,
    List<HistoryEntry> history,
    List<RecordedResult> answers,
    List<DomainSwitch> switches,
    List<KeeperOfficeState> keepers,
    List<Claim> claims,
    List<JobRecord> jobs) {

  /** State of a new site. */
  public static final RegistrySnapshot EMPTY =
      new RegistrySnapshot(
          0,
          AcceptedConfiguration.NONE,
          List.of(),
          List.of(),
          List.of(),
          List.of(),
          List.of(),
          List.of());

  /** Copies the lists. */
  public RegistrySnapshot {
    history = List.copyOf(history);
    answers = List.copyOf(answers);
    switches = List.copyOf(switches);
    keepers = List.copyOf(keepers);
    claims = List.copyOf(claims);
    jobs = List.copyOf(jobs);
  }
}
