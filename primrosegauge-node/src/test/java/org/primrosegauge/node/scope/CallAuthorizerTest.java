package org.primrosegauge.node.scope;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.primrosegauge.core.CustomerId;
import org.primrosegauge.core.InvalidInputException;
import org.primrosegauge.core.Revision;
import org.primrosegauge.core.ServiceId;
import org.primrosegauge.core.job.Resources;
import org.primrosegauge.core.scope.CustomerSpec;
import org.primrosegauge.core.scope.QueueName;
import org.primrosegauge.core.scope.QueueSpec;
import org.primrosegauge.core.scope.Recurrence;
import org.primrosegauge.core.scope.ScopeCommand;
import org.primrosegauge.core.scope.ScopeConfiguration;
import org.primrosegauge.core.scope.ScopeLedger;
import org.primrosegauge.core.scope.StepSpec;

/** Which callers can access an accepted job after keys and queues have changed. */
class CallAuthorizerTest {

  private static final String HOST = "host";

  private final ScopeLedger ledger = new ScopeLedger(60_000);
  private final CallAuthorizer authorizer = new CallAuthorizer(ledger);

  private static QueueSpec queue(String name, String prefix, boolean isPublic) {
    return new QueueSpec(
        new QueueName(name), HOST, prefix, new ServiceId("pool"), 1, 2, 2.0, 100, isPublic);
  }

  private void configure(long revision, String prefix, boolean isPublic, String keyOfFirst) {
    configure(revision, keyOfFirst, queue("q", prefix, isPublic));
  }

  private void configure(long revision, String keyOfFirst, QueueSpec... queues) {
    CustomerSpec first = new CustomerSpec(new CustomerId("c1"), List.of(keyOfFirst), 8);
    CustomerSpec second = new CustomerSpec(new CustomerId("c2"), List.of("other"), 8);
    ScopeConfiguration configuration =
        new ScopeConfiguration(
            new Revision(revision), List.of(queues), List.of(first, second), 1_000);
    ledger.apply(new ScopeCommand.Configure(configuration, "text"));
  }

  private void submit(String path, String key) throws InvalidInputException {
    ledger.apply(submission(path, key));
  }

  private ScopeCommand submission(String path, String key) throws InvalidInputException {
    StepSpec step = StepSpec.builder(1).task(new Resources(1_000, 100, 1)).build();
    CallAuthorizer.Authorization authorization =
        authorizer.authorize(new CallerAddress(HOST, path, key));
    JobSubmission submission = new JobSubmission("payload", List.of(step), Recurrence.NONE);
    return new ScopeCommand.Submit(authorizer.toJob(authorization.call(), submission, 0));
  }

  private boolean isFound(String path, String key) throws InvalidInputException {
    CallAuthorizer.Authorization authorization =
        authorizer.authorize(new CallerAddress(HOST, path, key));
    return authorizer.findJob(authorization.call()).isPresent();
  }

  /** Guards against reporting an accepted job as unknown to its caller. */
  @Test
  void jobOfPublicQueueIsFoundWithAndWithoutKey() throws InvalidInputException {
    configure(1, "/q/", true, "k1");
    submit("/q/00aa", "k1");
    assertThat(isFound("/q/00aa", null)).isTrue();
    assertThat(isFound("/q/00aa", "k1")).isTrue();
    assertThat(isFound("/q/00aa", "other")).isFalse();
  }

  /**
   * Guards against jobs that their customer cannot access once the key they were submitted with
   * changes.
   */
  @Test
  void jobIsFoundWithNewKeyOfItsCustomer() throws InvalidInputException {
    configure(1, "/q/", false, "k1");
    submit("/q/00aa", "k1");
    configure(2, "/q/", false, "k2");
    assertThat(isFound("/q/00aa", "k2")).isTrue();
  }

  /**
   * Guards against jobs that their customer cannot access once the prefix of their queue changes.
   */
  @Test
  void jobIsFoundUnderNewPrefixOfItsQueue() throws InvalidInputException {
    configure(1, "/q/", false, "k1");
    submit("/q/00aa", "k1");
    configure(2, "/r/", false, "k1");
    assertThat(isFound("/r/00aa", "k1")).isTrue();
  }

  /**
   * Guards against LOST and UNASKED: after the route at an address was given another name, jobs of
   * the former name went on and could be neither seen nor cancelled there.
   */
  @Test
  void jobIsFoundAfterItsQueueWasRenamed() throws InvalidInputException {
    configure(1, "k1", queue("q", "/q/", false));
    submit("/q/00aa", "k1");
    configure(2, "k1", queue("renamed", "/q/", false));
    assertThat(isFound("/q/00aa", "k1")).isTrue();
    assertThat(isFound("/q/00aa", "other")).isFalse();
    assertThat(ledger.queuedJobs(new QueueName("renamed"))).isEqualTo(1);
    assertThat(ledger.queuedJobs(new QueueName("q"))).isEqualTo(0);
  }

  /** The same with a configuration between, a snapshot, and a second new name. */
  @Test
  void jobIsFoundAfterItsQueueWasRemovedAndAddedUnderAnotherName() throws InvalidInputException {
    configure(1, "k1", queue("q", "/q/", false));
    submit("/q/00aa", "k1");
    configure(2, "k1", queue("unrelated", "/r/", false));
    ledger.restore(ledger.snapshot());
    configure(3, "k1", queue("unrelated", "/r/", false), queue("next", "/q/", false));
    assertThat(isFound("/q/00aa", "k1")).isTrue();
    assertThat(isFound("/r/00aa", "k1")).isFalse();
    configure(4, "k1", queue("last", "/q/", false));
    assertThat(isFound("/q/00aa", "k1")).isTrue();
  }

  /** The submission was authorized before the new name was applied. */
  @Test
  void jobThatIsAcceptedRightAfterTheRenamingIsFound() throws InvalidInputException {
    configure(1, "k1", queue("q", "/q/", false));
    ScopeCommand submission = submission("/q/00aa", "k1");
    configure(2, "k1", queue("renamed", "/q/", false));
    ledger.apply(submission);
    assertThat(isFound("/q/00aa", "k1")).isTrue();
  }

  /** A queue keeps its jobs when another one takes its address. */
  @Test
  void jobFollowsTheNameOfItsQueueWhileThatIsConfigured() throws InvalidInputException {
    configure(1, "k1", queue("q", "/q/", false));
    submit("/q/00aa", "k1");
    configure(2, "k1", queue("q", "/r/", false), queue("other", "/q/", false));
    assertThat(isFound("/r/00aa", "k1")).isTrue();
    assertThat(isFound("/q/00aa", "k1")).isFalse();
  }

  /** Guards against jobs that are visible to other customers. */
  @Test
  void jobOfAnotherCustomerIsNotFound() throws InvalidInputException {
    configure(1, "/q/", false, "k1");
    submit("/q/00aa", "k1");
    assertThat(isFound("/q/00aa", "other")).isFalse();
  }
}
