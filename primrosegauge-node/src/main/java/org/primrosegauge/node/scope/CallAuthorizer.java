package org.primrosegauge.node.scope;

import java.util.Optional;
import org.primrosegauge.core.CustomerId;
import org.primrosegauge.core.InvalidInputException;
import org.primrosegauge.core.JobId;
import org.primrosegauge.core.scope.JobEntry;
import org.primrosegauge.core.scope.QueueSpec;
import org.primrosegauge.core.scope.ScopeConfiguration;
import org.primrosegauge.core.scope.ScopeJob;
import org.primrosegauge.core.scope.ScopeLedger;

/**
 * Decides what a caller's call is about and whether it is allowed, from the ledger alone.
 *
 * <p>Stateless beyond the ledger; used on the log thread.
 */
final class CallAuthorizer {

  /**
   * A call that is allowed.
   *
   * @param queue queue
   * @param customer customer whose key was shown; null on a public queue
   * @param rest what follows the queue's prefix: the id of a job, or nothing
   */
  record AuthorizedCall(QueueSpec queue, CustomerId customer, String jobPath) {}

  /** Result of a check: either a refusal or what was admitted. */
  record Authorization(ScopeRefusal refusal, AuthorizedCall call) {

    static Authorization refused(ScopeRefusal why) {
      return new Authorization(why, null);
    }
  }

  private final ScopeLedger ledger;

  CallAuthorizer(ScopeLedger ledger) {
    this.ledger = ledger;
  }

  /** Finds the queue of a call and checks its key. */
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
    String rest = address.path().substring(queue.get().pathPrefix().length());
    return new Authorization(null, new AuthorizedCall(queue.get(), customer.orElse(null), rest));
  }

  /** Returns the job that an admitted call names; empty when it is not known. */
  Optional<JobEntry> findJob(AuthorizedCall call) throws InvalidInputException {
    JobId id = JobId.parse(call.jobPath(), "path");
    return ledger
        .job(id)
        .filter(entry -> entry.job().queue().equals(call.queue().name()))
        .filter(entry -> isVisible(entry, call));
  }

  /** On a public queue callers need no key, whether or not they showed one when handing in. */
  private static boolean isVisible(JobEntry entry, AuthorizedCall call) {
    CustomerId owner = entry.job().customer();
    boolean needsNoKey = call.queue().isPublic() && call.customer() == null;
    return owner == null || needsNoKey || owner.equals(call.customer());
  }

  /** Returns the job to accept. */
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
