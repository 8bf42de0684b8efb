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

/** Who finds an accepted job again after keys and queues have changed. */
class CallAuthorizerTest {

  private static final String HOST = "host";

  private final ScopeLedger ledger = new ScopeLedger(60_000);
  private final CallAuthorizer authorizer = new CallAuthorizer(ledger);

  private void configure(long revision, String prefix, boolean isPublic, String keyOfFirst) {
    QueueSpec queue =
        new QueueSpec(
            new QueueName("q"), HOST, prefix, new ServiceId("pool"), 1, 2, 2.0, 100, isPublic);
    CustomerSpec first = new CustomerSpec(new CustomerId("c1"), List.of(keyOfFirst), 8);
    CustomerSpec second = new CustomerSpec(new CustomerId("c2"), List.of("other"), 8);
    ScopeConfiguration configuration =
        new ScopeConfiguration(
            new Revision(revision), List.of(queue), List.of(first, second), 1_000);
    ledger.apply(new ScopeCommand.Configure(configuration, "text"));
  }

  private void submit(String path, String key) throws InvalidInputException {
    StepSpec step = StepSpec.builder(1).task(new Resources(1_000, 100, 1)).build();
    CallAuthorizer.Authorization check = authorizer.authorize(new CallerAddress(HOST, path, key));
    JobSubmission submission = new JobSubmission("payload", List.of(step), Recurrence.NONE);
    ledger.apply(new ScopeCommand.Submit(authorizer.toJob(check.call(), submission, 0)));
  }

  private boolean isFound(String path, String key) throws InvalidInputException {
    CallAuthorizer.Authorization check = authorizer.authorize(new CallerAddress(HOST, path, key));
    return authorizer.findJob(check.call()).isPresent();
  }

  /** Guards against an accepted job that its caller is told does not exist. */
  @Test
  void jobOfPublicQueueIsFoundWithAndWithoutKey() throws InvalidInputException {
    configure(1, "/q/", true, "k1");
    submit("/q/00aa", "k1");
    assertThat(isFound("/q/00aa", null)).isTrue();
    assertThat(isFound("/q/00aa", "k1")).isTrue();
    assertThat(isFound("/q/00aa", "other")).isFalse();
  }

  /** Guards against jobs that are lost to their customer with the key that handed them in. */
  @Test
  void jobIsFoundWithNewKeyOfItsCustomer() throws InvalidInputException {
    configure(1, "/q/", false, "k1");
    submit("/q/00aa", "k1");
    configure(2, "/q/", false, "k2");
    assertThat(isFound("/q/00aa", "k2")).isTrue();
  }

  /** Guards against jobs that are lost to their customer when a queue gets another prefix. */
  @Test
  void jobIsFoundUnderNewPrefixOfItsQueue() throws InvalidInputException {
    configure(1, "/q/", false, "k1");
    submit("/q/00aa", "k1");
    configure(2, "/r/", false, "k1");
    assertThat(isFound("/r/00aa", "k1")).isTrue();
  }

  /** Guards against jobs that other customers can see. */
  @Test
  void jobOfAnotherCustomerIsNotFound() throws InvalidInputException {
    configure(1, "/q/", false, "k1");
    submit("/q/00aa", "k1");
    assertThat(isFound("/q/00aa", "other")).isFalse();
  }
}
