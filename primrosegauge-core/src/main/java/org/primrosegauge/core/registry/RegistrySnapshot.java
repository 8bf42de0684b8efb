package org.primrosegauge.core.registry;

import java.util.List;
import org.primrosegauge.core.keeper.KeeperOfficeState;
import org.primrosegauge.core.site.DomainSwitch;

/**
 * Complete state of the registry. All lists are ordered, so that equal states give equal snapshots.
 *
 * @param logMillis latest log time, in milliseconds
 * @param configuration accepted configuration
 * @param history accepted changes, oldest first
 * @param answers recorded results of operator commands, oldest first
 * @param switches one for each domain that was ever switched, ordered by domain
 * @param keepers leadership state of each domain that ever had one, ordered by domain
 * @param claims claims, ordered by key
 * @param jobs job records, ordered by job id
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

  /** Initial state of a new site. */
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
