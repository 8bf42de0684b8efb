package org.primrosegauge.core.registry;

import java.util.List;
import java.util.Optional;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.JobId;
import org.primrosegauge.core.keeper.KeeperOffice;
import org.primrosegauge.core.keeper.KeeperOfficeState;
import org.primrosegauge.core.keeper.KeeperOffices;
import org.primrosegauge.core.keeper.QuorumResult;
import org.primrosegauge.core.keeper.cfg.KeeperSettings;
import org.primrosegauge.core.registry.RegistryCommand.AcknowledgeKeepers;
import org.primrosegauge.core.registry.RegistryCommand.AcquireKeeper;
import org.primrosegauge.core.registry.RegistryCommand.ApplyConfiguration;
import org.primrosegauge.core.registry.RegistryCommand.ConfigureKeepers;
import org.primrosegauge.core.registry.RegistryCommand.ConfirmKeepersStopped;
import org.primrosegauge.core.registry.RegistryCommand.KeeperCommand;
import org.primrosegauge.core.registry.RegistryCommand.OperatorCommand;
import org.primrosegauge.core.registry.RegistryCommand.PutClaim;
import org.primrosegauge.core.registry.RegistryCommand.PutJob;
import org.primrosegauge.core.registry.RegistryCommand.RenewKeeper;
import org.primrosegauge.core.registry.RegistryCommand.SettleClaim;
import org.primrosegauge.core.registry.RegistryCommand.SwitchDomain;
import org.primrosegauge.core.registry.RegistryResult.KeeperDecided;
import org.primrosegauge.core.registry.cfg.RegistrySettings;
import org.primrosegauge.core.registry.impl.ClaimStore;
import org.primrosegauge.core.registry.impl.ConfigurationStore;
import org.primrosegauge.core.registry.impl.JobStore;
import org.primrosegauge.core.registry.impl.ResultStore;
import org.primrosegauge.core.site.DomainSwitch;

/**
 * State machine of the replicated log. It is deterministic: equal commands applied at equal log
 * times give equal states and results.
 *
 * <p>An operator's command is executed once for each request id. The same command sent again gets
 * the recorded result, also after a restart or an election, because the results are part of the
 * replicated state.
 *
 * <p>Single-threaded. One object serves for the lifetime of its replica; {@link #restore} replaces
 * the whole state.
 *
 * @since 0.1
 */
public final class ConfigurationRegistry {

  private final RegistrySettings settings;
  private final KeeperSettings keeperSettings;
  private ConfigurationStore configuration;
  private ResultStore results;
  private KeeperOffices keepers;
  private ClaimStore claims;
  private JobStore jobs;
  private long logMillis;

  /**
   * Creates the registry of a new site.
   *
   * @param settings limits and retention periods
   * @param keeperSettings durations of the keepers' leases
   * @since 0.1
   */
  public ConfigurationRegistry(RegistrySettings settings, KeeperSettings keeperSettings) {
    this.settings = settings;
    this.keeperSettings = keeperSettings;
    restore(RegistrySnapshot.EMPTY);
  }

  /**
   * Replaces the whole state with a snapshot.
   *
   * @since 0.1
   */
  public void restore(RegistrySnapshot snapshot) {
    logMillis = snapshot.logMillis();
    configuration = new ConfigurationStore(settings, snapshot);
    results = new ResultStore(settings, snapshot);
    keepers = new KeeperOffices(keeperSettings, snapshot.keepers());
    claims = new ClaimStore(settings, snapshot);
    jobs = new JobStore(settings, snapshot);
  }

  /**
   * Returns a snapshot of the whole state.
   *
   * @since 0.1
   */
  public RegistrySnapshot snapshot() {
    return new RegistrySnapshot(
        logMillis,
        configuration.accepted(),
        configuration.history(),
        results.results(),
        configuration.switches(),
        keepers.states(),
        claims.claims(),
        jobs.jobs());
  }

  /**
   * Returns the latest log time, in milliseconds.
   *
   * @since 0.1
   */
  public long logMillis() {
    return logMillis;
  }

  /**
   * Returns the accepted configuration.
   *
   * @since 0.1
   */
  public AcceptedConfiguration accepted() {
    return configuration.accepted();
  }

  /**
   * Returns the accepted changes, oldest first.
   *
   * @since 0.1
   */
  public List<HistoryEntry> history() {
    return configuration.history();
  }

  /**
   * Returns the domain switches in force, ordered by domain.
   *
   * @since 0.1
   */
  public List<DomainSwitch> switches() {
    return configuration.switches();
  }

  /**
   * Returns the leadership record of a failure domain: its keeper and term.
   *
   * @since 0.1
   */
  public KeeperOffice keeper(FailureDomainId domain) {
    return keepers.office(domain);
  }

  /**
   * Returns the leadership records of all domains that have one, ordered by domain.
   *
   * @since 0.1
   */
  public List<KeeperOffice> offices() {
    return keepers.states().stream().map(KeeperOfficeState::office).toList();
  }

  /**
   * Returns the claim of an idempotency key, if there is one.
   *
   * @since 0.1
   */
  public Optional<Claim> claim(ContentDigest key) {
    return Optional.ofNullable(claims.find(key));
  }

  /**
   * Returns the record of a job, if there is one.
   *
   * @since 0.1
   */
  public Optional<JobRecord> job(JobId job) {
    return Optional.ofNullable(jobs.find(job));
  }

  /**
   * Returns all job records, ordered by job id.
   *
   * @since 0.1
   */
  public List<JobRecord> jobs() {
    return jobs.jobs();
  }

  /**
   * Applies a command. Log time never goes back, and expired entries are removed first.
   *
   * @param command command to apply
   * @param entryLogMillis log time of the log entry that carries the command, in milliseconds
   * @since 0.1
   */
  public RegistryResult apply(RegistryCommand command, long entryLogMillis) {
    logMillis = Math.max(logMillis, entryLogMillis);
    expire();
    if (command instanceof OperatorCommand operatorCommand) {
      return applyOnce(operatorCommand);
    } else if (command instanceof PutClaim put) {
      return claims.apply(put, logMillis);
    } else if (command instanceof SettleClaim settle) {
      return claims.apply(settle);
    } else if (command instanceof KeeperCommand keeperCommand) {
      return new KeeperDecided(applyKeeperCommand(keeperCommand));
    }
    return jobs.apply((PutJob) command, logMillis);
  }

  private RegistryResult applyOnce(OperatorCommand command) {
    RegistryResult recorded = results.find(command);
    if (recorded != null) {
      return recorded;
    }
    RegistryResult result = execute(command);
    results.record(command, result, logMillis);
    results.expire(logMillis);
    return result;
  }

  private RegistryResult execute(OperatorCommand command) {
    if (command instanceof ApplyConfiguration apply) {
      return configuration.apply(apply, logMillis);
    }
    return configuration.apply(((SwitchDomain) command).order());
  }

  private QuorumResult applyKeeperCommand(KeeperCommand command) {
    FailureDomainId domain = command.domain();
    if (command instanceof ConfigureKeepers configure) {
      return keepers.configure(domain, configure.members());
    } else if (command instanceof AcquireKeeper acquire) {
      return keepers.acquire(domain, acquire.instance(), acquire.expected(), logMillis);
    } else if (command instanceof RenewKeeper renew) {
      return keepers.renew(domain, renew.instance(), renew.term(), logMillis);
    } else if (command instanceof AcknowledgeKeepers acknowledge) {
      return keepers.acknowledge(
          domain, acknowledge.instance(), acknowledge.term(), acknowledge.version());
    }
    return keepers.confirmStopped(domain, ((ConfirmKeepersStopped) command).version());
  }

  private void expire() {
    results.expire(logMillis);
    claims.expire(logMillis);
    jobs.expire(logMillis);
  }
}
