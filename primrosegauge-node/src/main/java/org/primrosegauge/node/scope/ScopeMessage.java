package org.primrosegauge.node.scope;

import java.util.List;
import java.util.Objects;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.TargetId;
import org.primrosegauge.core.Term;
import org.primrosegauge.core.log.ReplicaId;
import org.primrosegauge.core.scope.JobStatus;
import org.primrosegauge.core.scope.ScopeConfiguration;
import org.primrosegauge.core.scope.WorkerHeartbeat;

/**
 * Message between instances of a scope.
 *
 * @since 0.2
 */
public sealed interface ScopeMessage {

  /** A question that any instance with a log answers. */
  sealed interface Question extends ScopeMessage {

    /** Tells whether the answer leaves everything as it is. */
    default boolean isReadOnly() {
      return false;
    }
  }

  /** A question whose answer leaves everything as it is. */
  sealed interface Read extends Question {

    @Override
    default boolean isReadOnly() {
      return true;
    }
  }

  /** An answer. */
  sealed interface Answer extends ScopeMessage {}

  // Questions

  /** Asks who leads and who keeps the log. */
  record AskLeader() implements Read {}

  /**
   * Hands a job in.
   *
   * @param address queue and id of the job, as the caller named them
   * @param job job
   */
  record Submit(CallerAddress address, JobSubmission job) implements Question {

    /** Checks that nothing is missing. */
    public Submit {
      Objects.requireNonNull(address, "address");
      Objects.requireNonNull(job, "job");
    }
  }

  /**
   * Asks for the state of a job, or how many jobs of a queue wait.
   *
   * @param address queue and id of the job, or queue alone
   */
  record AskState(CallerAddress address) implements Read {

    /** Checks that nothing is missing. */
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

    /** Checks that nothing is missing. */
    public Cancel {
      Objects.requireNonNull(address, "address");
    }
  }

  /**
   * Puts a configuration in force.
   *
   * @param configuration configuration
   * @param content text as the operators sent it
   */
  record Configure(ScopeConfiguration configuration, String content) implements Question {}

  /** Asks for the configuration in force. */
  record AskConfiguration() implements Read {}

  /**
   * Takes a failure domain out, or back in.
   *
   * @param domain failure domain
   * @param isOut whether nothing may start there
   * @param place answer to {@link AskOrderPlace} before it; null when the order is carried out
   *     whatever came after it
   */
  record SwitchDomain(FailureDomainId domain, boolean isOut, OrderPlace place) implements Question {

    /** Checks that nothing is missing. */
    public SwitchDomain {
      Objects.requireNonNull(domain, "domain");
    }

    /** Creates an order that is carried out whatever came after it. */
    public SwitchDomain(FailureDomainId domain, boolean isOut) {
      this(domain, isOut, null);
    }
  }

  /**
   * Asks for the place of the next order about a failure domain.
   *
   * @param domain failure domain
   */
  record AskOrderPlace(FailureDomainId domain) implements Read {

    /** Checks that nothing is missing. */
    public AskOrderPlace {
      Objects.requireNonNull(domain, "domain");
    }
  }

  /**
   * Passes a heartbeat on.
   *
   * @param status heartbeat
   */
  record Heartbeat(WorkerHeartbeat status) implements Question {

    /** Checks that nothing is missing. */
    public Heartbeat {
      Objects.requireNonNull(status, "status");
    }
  }

  /**
   * Passes on that a worker ends.
   *
   * @param target worker
   */
  record WorkerLeft(TargetId target) implements Question {

    /** Checks that nothing is missing. */
    public WorkerLeft {
      Objects.requireNonNull(target, "target");
    }
  }

  // One-way

  /**
   * Asks to be admitted to the log.
   *
   * @param replica replica that is no member
   */
  record Join(ReplicaId replica) implements ScopeMessage {}

  // Answers

  /**
   * Tells who leads and who keeps the log.
   *
   * @param leader leader; null when none is known
   * @param members members of the log
   * @param voters members that vote
   * @param isAuthoritative whether the sender itself leads and may answer for all
   */
  record Leader(
      InstanceId leader, List<InstanceId> members, List<InstanceId> voters, boolean isAuthoritative)
      implements Answer {}

  /**
   * Says that the sender does not lead and has done nothing.
   *
   * @param leader leader; null when none is known
   */
  record NotLeader(InstanceId leader) implements Answer {}

  /** Says that the question was carried out. */
  record Done() implements Answer {}

  /** Says that the question may have been carried out. */
  record Unknown() implements Answer {}

  /**
   * Refuses a question, which was not carried out.
   *
   * @param reason why
   * @param comeBackMillis when to come back, in milliseconds; 0 when the reason says it
   */
  record Refused(ScopeRefusal reason, long comeBackMillis) implements Answer {

    /** Creates a refusal whose reason says when to come back, if ever. */
    public Refused(ScopeRefusal reason) {
      this(reason, 0);
    }
  }

  /**
   * Tells the state of a job.
   *
   * @param status state
   */
  record State(JobStatus status) implements Answer {}

  /**
   * Tells how many jobs of a queue have not started.
   *
   * @param jobs number of jobs
   */
  record Pending(long jobs) implements Answer {}

  /**
   * Tells how many orders about a failure domain its leader has taken.
   *
   * @param term term of the leader
   * @param number orders about the domain in this term
   */
  record OrderPlace(Term term, long number) implements Answer {}

  /**
   * Tells the configuration in force.
   *
   * @param content text as the operators sent it
   */
  record Configuration(String content) implements Answer {}
}
