package org.primrosegauge.core.registry;

import java.util.List;
import java.util.Objects;
import org.primrosegauge.core.ExecutionStatus;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.JobId;
import org.primrosegauge.core.RequestId;
import org.primrosegauge.core.Revision;
import org.primrosegauge.core.Term;
import org.primrosegauge.core.site.DomainSwitch;

/**
 * Command of the replicated log. Commands carry no time of their own; each is applied at the log
 * time of its log entry.
 *
 * @since 0.1
 */
public sealed interface RegistryCommand {

  /**
   * Command of an operator, executed once for each request id.
   *
   * @since 0.1
   */
  sealed interface OperatorCommand extends RegistryCommand {

    /**
     * Returns the request id that the operator chose.
     *
     * @since 0.1
     */
    RequestId requestId();
  }

  /**
   * Replaces the configuration. The caller must validate the content before it proposes the
   * command.
   *
   * @param requestId operator's request id
   * @param expectedRevision revision that the new configuration replaces
   * @param digest digest of the content
   * @param content whole configuration as TOML text
   * @param operator operator who requests the change
   * @since 0.1
   */
  record ApplyConfiguration(
      RequestId requestId,
      Revision expectedRevision,
      ContentDigest digest,
      String content,
      String operator)
      implements OperatorCommand {

    /** Checks that no component is null. */
    public ApplyConfiguration {
      Objects.requireNonNull(requestId);
      Objects.requireNonNull(expectedRevision);
      Objects.requireNonNull(digest);
      Objects.requireNonNull(content);
      Objects.requireNonNull(operator);
    }
  }

  /**
   * Takes a failure domain out of service, or back in.
   *
   * @param requestId operator's request id
   * @param order the domain switch, with the operators' revision for that domain
   * @param operator operator who requests the change
   * @since 0.1
   */
  record SwitchDomain(RequestId requestId, DomainSwitch order, String operator)
      implements OperatorCommand {

    /** Checks that no component is null. */
    public SwitchDomain {
      Objects.requireNonNull(requestId);
      Objects.requireNonNull(order);
      Objects.requireNonNull(operator);
    }
  }

  /**
   * Claims the idempotency key of a service request that must run at most once.
   *
   * @param key digest of customer, service and idempotency key
   * @param request digest of the request content
   * @param claimant instance that will dispatch the request
   * @param requestId id of the request that claims the key; a repeated claim with the same instance
   *     and id is idempotent
   * @param keepMillis how long the claim is kept, in milliseconds of log time
   * @since 0.1
   */
  record PutClaim(
      ContentDigest key,
      ContentDigest request,
      InstanceId claimant,
      RequestId requestId,
      long keepMillis)
      implements RegistryCommand {

    /** Checks that no component is null. */
    public PutClaim {
      Objects.requireNonNull(key);
      Objects.requireNonNull(request);
      Objects.requireNonNull(claimant);
      Objects.requireNonNull(requestId);
    }
  }

  /**
   * Records whether a claimed request ran. Accepted only from the holder of the claim. {@link
   * ExecutionStatus#NOT_RUN} releases the key. An unknown outcome may be replaced by a known one,
   * but not the reverse.
   *
   * @param key digest of customer, service and idempotency key
   * @param claimant instance that dispatched the request
   * @param requestId id of the request that holds the key
   * @param execution whether the work ran
   * @since 0.1
   */
  record SettleClaim(
      ContentDigest key, InstanceId claimant, RequestId requestId, ExecutionStatus execution)
      implements RegistryCommand {

    /** Checks that no component is null. */
    public SettleClaim {
      Objects.requireNonNull(key);
      Objects.requireNonNull(claimant);
      Objects.requireNonNull(requestId);
      Objects.requireNonNull(execution);
    }
  }

  /**
   * Command about the leadership (keeper) of one failure domain, see {@link
   * org.primrosegauge.core.keeper.KeeperOffices}.
   *
   * @since 0.1
   */
  sealed interface KeeperCommand extends RegistryCommand {

    /**
     * Returns the failure domain.
     *
     * @since 0.1
     */
    FailureDomainId domain();
  }

  /**
   * Replaces the set of instances that may lead a domain.
   *
   * @param domain failure domain
   * @param members configured instances
   * @since 0.1
   */
  record ConfigureKeepers(FailureDomainId domain, List<InstanceId> members)
      implements KeeperCommand {

    /** Checks that no component is null and copies the list. */
    public ConfigureKeepers {
      Objects.requireNonNull(domain);
      members = List.copyOf(members);
    }
  }

  /**
   * Requests the leadership of a domain for a new term.
   *
   * @param domain failure domain
   * @param instance instance that requests the leadership
   * @param expected term that must still be the latest one
   * @since 0.1
   */
  record AcquireKeeper(FailureDomainId domain, InstanceId instance, Term expected)
      implements KeeperCommand {

    /** Checks that no component is null. */
    public AcquireKeeper {
      Objects.requireNonNull(domain);
      Objects.requireNonNull(instance);
      Objects.requireNonNull(expected);
    }
  }

  /**
   * Renews the leadership lease.
   *
   * @param domain failure domain
   * @param instance current keeper
   * @param term term of its leadership
   * @since 0.1
   */
  record RenewKeeper(FailureDomainId domain, InstanceId instance, Term term)
      implements KeeperCommand {

    /** Checks that no component is null. */
    public RenewKeeper {
      Objects.requireNonNull(domain);
      Objects.requireNonNull(instance);
      Objects.requireNonNull(term);
    }
  }

  /**
   * Records that an instance no longer relies on an older instance set.
   *
   * @param domain failure domain
   * @param instance instance that acknowledges the pending set
   * @param term term in effect at the instance, or {@link Term#NONE}
   * @param version version of the pending set
   * @since 0.1
   */
  record AcknowledgeKeepers(FailureDomainId domain, InstanceId instance, Term term, long version)
      implements KeeperCommand {

    /** Checks that no component is null. */
    public AcknowledgeKeepers {
      Objects.requireNonNull(domain);
      Objects.requireNonNull(instance);
      Objects.requireNonNull(term);
    }
  }

  /**
   * Records an operator's confirmation that the old members which have not acknowledged the pending
   * set are permanently stopped.
   *
   * @param domain failure domain
   * @param version version of the pending set
   * @since 0.1
   */
  record ConfirmKeepersStopped(FailureDomainId domain, long version) implements KeeperCommand {

    /** Checks that the domain is not null. */
    public ConfirmKeepersStopped {
      Objects.requireNonNull(domain);
    }
  }

  /**
   * Records a job's state. Versions only increase, and a final record is never changed.
   *
   * @param domain home domain of the job
   * @param job id of the job
   * @param version assigned by the keeper of the home domain
   * @param isFinal whether the job has finished
   * @param payload state, as serialised by the keeper
   * @since 0.1
   */
  record PutJob(FailureDomainId domain, JobId job, long version, boolean isFinal, byte[] payload)
      implements RegistryCommand {

    /** Checks that no component is null. */
    public PutJob {
      Objects.requireNonNull(domain);
      Objects.requireNonNull(job);
      Objects.requireNonNull(payload);
    }
  }
}
