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
 * Command of the replicated log. Commands carry no time: they are applied at the log time of their
 * entry.
 *
 * @since 0.1
 */
public sealed interface RegistryCommand {

  /**
   * Command of an operator, answered once for each request id.
   *
   * @since 0.1
   */
  sealed interface OperatorCommand extends RegistryCommand {

    /**
     * Returns the request id, chosen by the operator.
     *
     * @since 0.1
     */
    RequestId requestId();
  }

  /**
   * Replaces the configuration. The content must be validated before it is proposed.
   *
   * @param requestId operator's request id
   * @param expectedRevision revision that this replaces
   * @param digest digest of the content
   * @param content whole configuration as TOML text
   * @param operator who asks
   * @since 0.1
   */
  record ApplyConfiguration(
      RequestId requestId,
      Revision expectedRevision,
      ContentDigest digest,
      String content,
      String operator)
      implements OperatorCommand {

    /** Checks that all parts are present. */
    public ApplyConfiguration {
      Objects.requireNonNull(requestId);
      Objects.requireNonNull(expectedRevision);
      Objects.requireNonNull(digest);
      Objects.requireNonNull(content);
      Objects.requireNonNull(operator);
    }
  }

  /**
   * Takes a failure domain out or in.
   *
   * @param requestId operator's request id
   * @param order the order, with the operator's revision for that domain
   * @param operator who asks
   * @since 0.1
   */
  record SwitchDomain(RequestId requestId, DomainSwitch order, String operator)
      implements OperatorCommand {

    /** Checks that all parts are present. */
    public SwitchDomain {
      Objects.requireNonNull(requestId);
      Objects.requireNonNull(order);
      Objects.requireNonNull(operator);
    }
  }

  /**
   * Claims a service request that must run at most once.
   *
   * @param key digest of customer, service and idempotency key
   * @param request digest of the request's content
   * @param claimant instance that will dispatch it
   * @param requestId request that claims the key; the same claim sent again is the same claimant
   * @param keepMillis how long the claim is kept, in log time
   * @since 0.1
   */
  record PutClaim(
      ContentDigest key,
      ContentDigest request,
      InstanceId claimant,
      RequestId requestId,
      long keepMillis)
      implements RegistryCommand {

    /** Checks that all parts are present. */
    public PutClaim {
      Objects.requireNonNull(key);
      Objects.requireNonNull(request);
      Objects.requireNonNull(claimant);
      Objects.requireNonNull(requestId);
    }
  }

  /**
   * Records what became of a claimed request. Only the holder's word counts. {@link
   * Execution#NOT_RUN} gives the key back; an unknown outcome may be followed by a known one, never
   * the other way round.
   *
   * @param key digest of customer, service and idempotency key
   * @param claimant instance that dispatched it
   * @param requestId request that holds the key
   * @param execution what became of the work
   * @since 0.1
   */
  record SettleClaim(
      ContentDigest key, InstanceId claimant, RequestId requestId, ExecutionStatus execution)
      implements RegistryCommand {

    /** Checks that all parts are present. */
    public SettleClaim {
      Objects.requireNonNull(key);
      Objects.requireNonNull(claimant);
      Objects.requireNonNull(requestId);
      Objects.requireNonNull(execution);
    }
  }

  /**
   * Command about the keeper's office of one failure domain, see {@link
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
   * Replaces the instance set of a domain.
   *
   * @param domain failure domain
   * @param members configured instances
   * @since 0.1
   */
  record ConfigureKeepers(FailureDomainId domain, List<InstanceId> members)
      implements KeeperCommand {

    /** Copies the list. */
    public ConfigureKeepers {
      Objects.requireNonNull(domain);
      members = List.copyOf(members);
    }
  }

  /**
   * Asks for the office under a new term.
   *
   * @param domain failure domain
   * @param instance instance that asks
   * @param expected term that must still be the last one
   * @since 0.1
   */
  record AcquireKeeper(FailureDomainId domain, InstanceId instance, Term expected)
      implements KeeperCommand {

    /** Checks that all parts are present. */
    public AcquireKeeper {
      Objects.requireNonNull(domain);
      Objects.requireNonNull(instance);
      Objects.requireNonNull(expected);
    }
  }

  /**
   * Renews the lease of the office.
   *
   * @param domain failure domain
   * @param instance keeper
   * @param term term of its office
   * @since 0.1
   */
  record RenewKeeper(FailureDomainId domain, InstanceId instance, Term term)
      implements KeeperCommand {

    /** Checks that all parts are present. */
    public RenewKeeper {
      Objects.requireNonNull(domain);
      Objects.requireNonNull(instance);
      Objects.requireNonNull(term);
    }
  }

  /**
   * Records that an instance relies on no older instance set.
   *
   * @param domain failure domain
   * @param instance instance
   * @param term term in effect at the instance, or {@link Term#NONE}
   * @param version version of the pending set
   * @since 0.1
   */
  record AcknowledgeKeepers(FailureDomainId domain, InstanceId instance, Term term, long version)
      implements KeeperCommand {

    /** Checks that all parts are present. */
    public AcknowledgeKeepers {
      Objects.requireNonNull(domain);
      Objects.requireNonNull(instance);
      Objects.requireNonNull(term);
    }
  }

  /**
   * States, on an operator's word, that the old members which have not acknowledged the pending set
   * are stopped for good.
   *
   * @param domain failure domain
   * @param version version of the pending set
   * @since 0.1
   */
  record ConfirmKeepersStopped(FailureDomainId domain, long version) implements KeeperCommand {

    /** Checks that the domain is present. */
    public ConfirmKeepersStopped {
      Objects.requireNonNull(domain);
    }
  }

  /**
   * Records a job's state. Versions only move forward, and a final record is not changed.
   *
   * @param domain home domain of the job
   * @param job job
   * @param version counted by the home domain's keeper
   * @param isFinal whether the job is over
   * @param payload state, as the keeper serialises it
   * @since 0.1
   */
  record PutJob(FailureDomainId domain, JobId job, long version, boolean isFinal, byte[] payload)
      implements RegistryCommand {

    /** Checks that all parts are present. */
    public PutJob {
      Objects.requireNonNull(domain);
      Objects.requireNonNull(job);
      Objects.requireNonNull(payload);
    }
  }
}
