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
final class ScopeCalls {

  /**
   * A call that is allowed.
   *
   * @param queue queue
   * @param customer customer whose key was shown; null on a public queue
   * @param rest what follows the queue's prefix: the id of a job, or nothing
   */
  record Admitted(QueueSpec queue, CustomerId customer, String rest) {}

  /** Result of a check: either a refusal or what was admitted. */
  record Check(ScopeRefusal refusal, Admitted admitted) {

    static Check refused(ScopeRefusal why) {
      return new Check(why, null);
    }
  }

  private final ScopeLedger ledger;

  ScopeCalls(ScopeLedger ledger) {
    this.ledger = ledger;
  }

  /** Finds the queue of a call and checks its key. */
  Check check(CallerAddress address) {
    ScopeConfiguration configuration = ledger.configuration();
    if (!configuration.isConfigured()) {
      return Check.refused(ScopeRefusal.NOT_CONFIGURED);
    }
    Optional<QueueSpec> queue = configuration.route(address.host(), address.path());
    if (queue.isEmpty()) {
      return Check.refused(ScopeRefusal.NO_QUEUE);
    }
    Optional<CustomerId> customer =
        address.key() == null ? Optional.empty() : configuration.customerOf(address.key());
    if (customer.isEmpty() && !queue.get().isPublic()) {
      return Check.refused(ScopeRefusal.UNKNOWN_KEY);
    }
    String rest = address.path().substring(queue.get().pathPrefix().length());
    return new Check(null, new Admitted(queue.get(), customer.orElse(null), rest));
  }

  /** Returns the job that an admitted call names; empty when it is not known. */
  Optional<JobEntry> job(Admitted call) throws InvalidInputException {
    JobId id = JobId.parse(call.rest(), "path");
    return ledger
        .job(id)
        .filter(entry -> entry.job().queue().equals(call.queue().name()))
        .filter(entry -> isVisible(entry, call));
  }

  /** On a public queue callers need no key, whether or not they showed one when handing in. */
  private static boolean isVisible(JobEntry entry, Admitted call) {
    CustomerId owner = entry.job().customer();
    boolean needsNoKey = call.queue().isPublic() && call.customer() == null;
    return owner == null || needsNoKey || owner.equals(call.customer());
  }

  /** Returns the job to accept. */
  ScopeJob accept(Admitted call, JobSubmission submission, long wallMillis)
      throws InvalidInputException {
    return new ScopeJob(
        JobId.parse(call.rest(), "path"),
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
