package org.primrosegauge.node.scope;

import java.util.List;
import java.util.Objects;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.Revision;
import org.primrosegauge.core.TargetId;
import org.primrosegauge.core.Term;
import org.primrosegauge.core.log.ReplicaId;
import org.primrosegauge.core.scope.JobStatus;
import org.primrosegauge.core.scope.WorkerHeartbeat;

/**
 * Message between instances of a scope.
 *
 * @since 0.2
 */
public sealed interface ScopeMessage {

  /** A request, to which any instance that replicates the log responds. */
  sealed interface Question extends ScopeMessage {

    /** Returns whether executing the request changes no state. */
    default boolean isReadOnly() {
      return false;
    }
  }

  /** A request that changes no state. */
  sealed interface Read extends Question {

    @Override
    default boolean isReadOnly() {
      return true;
    }
  }

  /** A response to a request. */
  sealed interface Answer extends ScopeMessage {}

  // Requests

  /** Asks for the leader and the members of the log. */
  record AskLeader() implements Read {}

  /**
   * Submits a job.
   *
   * @param address queue and id of the job, as the caller named them
   * @param job job
   */
  record Submit(CallerAddress address, JobSubmission job) implements Question {

    /** Checks that the required components are present. */
    public Submit {
      Objects.requireNonNull(address, "address");
      Objects.requireNonNull(job, "job");
    }
  }

  /**
   * Asks for the state of a job, or for the number of jobs of a queue that have not started.
   *
   * @param address queue and id of the job, or only the queue
   */
  record AskState(CallerAddress address) implements Read {

    /** Checks that the required components are present. */
    public AskState {
      Objects.requireNonNull(address, "address");
    }
  }

  /**
   * Cancels a job.
   *
   * @param address queue and id of the job
   */
  record Cancel(CallerAddress address) implements Question {

    /** Checks that the required components are present. */
    public Cancel {
      Objects.requireNonNull(address, "address");
    }
  }

  /**
   * Puts a configuration into effect.
   *
   * @param revision revision of the configuration
   * @param content text of the configuration as the operator sent it
   */
  record Configure(Revision revision, String content) implements Question {

    /** Checks that the components are present. */
    public Configure {
      Objects.requireNonNull(revision, "revision");
      Objects.requireNonNull(content, "content");
    }
  }

  /** Asks for the configuration in effect. */
  record AskConfiguration() implements Read {}

  /**
   * Takes a failure domain out of service, or back into service.
   *
   * @param domain failure domain
   * @param isOut whether the domain is out of service, so that nothing may start there
   * @param place preceding response to {@link AskOrderPlace}; null if the order is executed
   *     regardless of newer orders
   */
  record SwitchDomain(FailureDomainId domain, boolean isOut, OrderPlace place) implements Question {

    /** Checks that the required components are present. */
    public SwitchDomain {
      Objects.requireNonNull(domain, "domain");
    }

    /** Creates an order that is executed regardless of newer orders. */
    public SwitchDomain(FailureDomainId domain, boolean isOut) {
      this(domain, isOut, null);
    }
  }

  /**
   * Asks for the current sequence number of the orders for a failure domain.
   *
   * @param domain failure domain
   */
  record AskOrderPlace(FailureDomainId domain) implements Read {

    /** Checks that the required components are present. */
    public AskOrderPlace {
      Objects.requireNonNull(domain, "domain");
    }
  }

  /**
   * Forwards a worker's heartbeat to the leader.
   *
   * @param status heartbeat
   */
  record Heartbeat(WorkerHeartbeat status) implements Question {

    /** Checks that the required components are present. */
    public Heartbeat {
      Objects.requireNonNull(status, "status");
    }
  }

  /**
   * Notifies the leader that a worker terminates.
   *
   * @param target worker
   */
  record WorkerLeft(TargetId target) implements Question {

    /** Checks that the required components are present. */
    public WorkerLeft {
      Objects.requireNonNull(target, "target");
    }
  }

  // One-way messages

  /**
   * Requests admission to the log as a new member.
   *
   * @param replica replica that is not a member yet
   */
  record Join(ReplicaId replica) implements ScopeMessage {}

  // Responses

  /**
   * Reports the leader and the members of the log.
   *
   * @param leader leader; null if none is known
   * @param members members of the log
   * @param voters members that vote
   * @param isAuthoritative whether the sender itself leads and its responses are authoritative
   */
  record Leader(
      InstanceId leader, List<InstanceId> members, List<InstanceId> voters, boolean isAuthoritative)
      implements Answer {}

  /**
   * Reports that the sender does not lead and has not executed the request.
   *
   * @param leader leader; null if none is known
   */
  record NotLeader(InstanceId leader) implements Answer {}

  /** Reports that the request was executed. */
  record Done() implements Answer {}

  /** Reports that the outcome is unknown: the request may have been executed. */
  record Unknown() implements Answer {}

  /**
   * Refuses a request, which was not executed.
   *
   * @param reason reason of the refusal
   * @param comeBackMillis delay after which to retry, in milliseconds; 0 if the reason alone
   *     determines whether to retry
   */
  record Refused(ScopeRefusal reason, long comeBackMillis) implements Answer {

    /** Creates a refusal whose reason alone determines whether and when to retry. */
    public Refused(ScopeRefusal reason) {
      this(reason, 0);
    }
  }

  /**
   * Reports the state of a job.
   *
   * @param status state
   */
  record State(JobStatus status) implements Answer {}

  /**
   * Reports the number of jobs of a queue that have not started.
   *
   * @param jobs number of jobs
   */
  record Pending(long jobs) implements Answer {}

  /**
   * Reports the sequence number of the latest order for a failure domain.
   *
   * @param term term of the leader
   * @param number number of orders for the domain that the leader has accepted in this term
   */
  record OrderPlace(Term term, long number) implements Answer {}

  /**
   * Reports the configuration in effect.
   *
   * @param content text of the configuration as the operator sent it
   */
  record Configuration(String content) implements Answer {}
}
