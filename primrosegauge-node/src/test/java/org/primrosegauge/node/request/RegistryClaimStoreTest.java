package org.primrosegauge.node.request;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.primrosegauge.core.ErrorKind;
import org.primrosegauge.core.ExecutionStatus;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.PrimrosegaugeException;
import org.primrosegauge.core.RequestId;
import org.primrosegauge.core.keeper.cfg.KeeperSettings;
import org.primrosegauge.core.registry.ConfigurationRegistry;
import org.primrosegauge.core.registry.ContentDigest;
import org.primrosegauge.core.registry.RegistryCommand;
import org.primrosegauge.core.registry.RegistryResult;
import org.primrosegauge.core.registry.cfg.RegistrySettings;
import org.primrosegauge.core.request.ClaimResult;
import org.primrosegauge.core.request.ClaimResult.AlreadyClaimed;
import org.primrosegauge.core.request.ClaimResult.Granted;
import org.primrosegauge.core.request.IdempotencyClaim;
import org.primrosegauge.node.log.RegistryCodec;
import reactor.core.publisher.Mono;

/** Claims over a log that applies what it is given and may lose answers. */
class RegistryClaimStoreTest {

  private static final RequestId FIRST = new RequestId("r1");
  private static final RequestId SECOND = new RequestId("r2");

  private final RegistryCodec codec = new RegistryCodec();
  private final ConfigurationRegistry registry =
      new ConfigurationRegistry(RegistrySettings.DEFAULT, new KeeperSettings(2_000, 300, 10_000));
  private final RegistryClaimStore near = store("near");
  private final RegistryClaimStore far = store("far");
  private int answersToLose;

  private RegistryClaimStore store(String instance) {
    return new RegistryClaimStore(new InstanceId(instance), this::propose, 1_000);
  }

  private Mono<RegistryResult> propose(RegistryCommand command) {
    return Mono.fromCallable(
        () -> {
          RegistryResult result = registry.apply(codec.readCommand(codec.write(command)), 1);
          registry.restore(codec.readSnapshot(codec.write(registry.snapshot())));
          if (answersToLose-- > 0) {
            throw new PrimrosegaugeException(ErrorKind.OUTCOME_UNKNOWN, "lost", "send again", "");
          }
          return codec.readResult(codec.write(result));
        });
  }

  private static IdempotencyClaim claim(String body) {
    return new IdempotencyClaim(ContentDigest.of("key"), ContentDigest.of(body));
  }

  private static ClaimResult ask(RegistryClaimStore store, RequestId id, String body) {
    CompletableFuture<ClaimResult> result = new CompletableFuture<>();
    store.claim(id, claim(body), result::complete);
    return result.join();
  }

  @Test
  void lostAnswerIsTheSameClaimant() {
    answersToLose = 2;
    assertThat(ask(near, FIRST, "body")).isEqualTo(new Granted());
    assertThat(ask(far, SECOND, "body"))
        .isEqualTo(new AlreadyClaimed(FIRST, true, Optional.empty()));
  }

  @Test
  void undecidedClaimIsUnavailable() {
    answersToLose = Integer.MAX_VALUE;
    assertThat(ask(near, FIRST, "body")).isEqualTo(new ClaimResult.Unavailable());
  }

  @Test
  void otherContentIsTold() {
    ask(near, FIRST, "body");
    near.settle(FIRST, claim("body"), ExecutionStatus.RAN);
    assertThat(ask(far, SECOND, "another"))
        .isEqualTo(new AlreadyClaimed(FIRST, false, Optional.of(ExecutionStatus.RAN)));
  }

  @Test
  void keyIsGivenBackWhenNothingRan() {
    ask(near, FIRST, "body");
    near.settle(FIRST, claim("body"), ExecutionStatus.NOT_RUN);
    assertThat(ask(far, SECOND, "body")).isEqualTo(new Granted());
  }
}
