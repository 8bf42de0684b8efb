package org.primrosegauge.node.scope;

import java.util.Optional;
import org.primrosegauge.core.CustomerId;
import org.primrosegauge.core.InvalidInputException;
import org.primrosegauge.core.JobId;
import org.primrosegauge.core.scope.JobEntry;
import org.primrosegauge.core.scope.QueueSpec;
import org.primrosegauge.core.scope.ScopeCommand;
import org.primrosegauge.core.scope.ScopeConfiguration;
import org.primrosegauge.core.scope.ScopeJob;
import org.primrosegauge.core.scope.ScopeLedger;

/**
 * Resolves the queue and job of a caller's call and checks whether the call is allowed, based on
 * the ledger alone.
 *
 * <p>Stateless beyond the ledger; used on the log thread.
 */
final class CallAuthorizer {

  /**
   * A call that is allowed.
   *
   * @param queue queue
   * @param customer customer that the call's key belongs to; null for a call without a known key to
   *     a public queue
   * @param jobPath path after the queue's prefix: the id of a job, or empty
   */
  record AuthorizedCall(QueueSpec queue, CustomerId customer, String jobPath) {}

  /** Result of an authorization: either a refusal or the allowed call; the other is null. */
  record Authorization(ScopeRefusal refusal, AuthorizedCall call) {

    static Authorization refused(ScopeRefusal reason) {
      return new Authorization(reason, null);
    }
  }

  private final ScopeLedger ledger;

  CallAuthorizer(ScopeLedger ledger) {
    this.ledger = ledger;
  }

  /** Resolves the queue of a call and checks its key. */
  Authorization authorize(CallerAddress address) {
    ScopeConfiguration configuration = ledger.configuration();
    if (!configuration.isConfigured()) {
      return Authorization.refused(ScopeRefusal.NOT_CONFIGURED);
    }
    Optional<QueueSpec> queue = configuration.route(address.host(), address.path());
    if (queue.isEmpty()) {
      return Authorization.refused(ScopeRefusal.NO_QUEUE);
    }
    Optional<CustomerId> customer =
        address.key() == null ? Optional.empty() : configuration.customerOf(address.key());
    if (customer.isEmpty() && !queue.get().isPublic()) {
      return Authorization.refused(ScopeRefusal.UNKNOWN_KEY);
    }
    String jobPath = address.path().substring(queue.get().pathPrefix().length());
    return new Authorization(null, new AuthorizedCall(queue.get(), customer.orElse(null), jobPath));
  }

  /** Returns the job that an authorized call names; empty if there is none that it may see. */
  Optional<JobEntry> findJob(AuthorizedCall call) throws InvalidInputException {
    JobId id = JobId.parse(call.jobPath(), "path");
    return ledger
        .job(id)
        .filter(entry -> entry.job().isVisibleTo(call.queue().name(), call.customer()));
  }

  /** Creates the command that cancels the job that an authorized call names. */
  ScopeCommand.Cancel toCancel(AuthorizedCall call, long wallMillis) throws InvalidInputException {
    return new ScopeCommand.Cancel(
        JobId.parse(call.jobPath(), "path"), wallMillis, call.queue().name(), call.customer());
  }

  /** Creates the job that an authorized call submits, with the settings of its queue. */
  ScopeJob toJob(AuthorizedCall call, JobSubmission submission, long wallMillis)
      throws InvalidInputException {
    return new ScopeJob(
        JobId.parse(call.jobPath(), "path"),
        call.queue().name(),
        call.queue().pool(),
        call.customer(),
        call.queue().maxAttempts(),
        wallMillis,
        submission.payload(),
        submission.steps(),
        submission.recurrence());
  }
}
