package org.primrosegauge.node.request;

import java.time.Duration;
import java.util.function.Consumer;
import java.util.function.Function;
import org.primrosegauge.core.ErrorKind;
import org.primrosegauge.core.ExecutionStatus;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.PrimrosegaugeException;
import org.primrosegauge.core.RequestId;
import org.primrosegauge.core.registry.Claim;
import org.primrosegauge.core.registry.RegistryCommand;
import org.primrosegauge.core.registry.RegistryResult;
import org.primrosegauge.core.request.ClaimResult;
import org.primrosegauge.core.request.ClaimStore;
import org.primrosegauge.core.request.IdempotencyClaim;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.publisher.Mono;
import reactor.util.retry.Retry;

/**
 * Record of idempotency keys in the replicated log. A proposal whose answer was lost is sent again:
 * the registry knows instance and request of a claim and takes it as the same one.
 *
 * <p>Thread-safe: it keeps no state.
 *
 * @since 0.1
 */
public final class RegistryClaimStore implements ClaimStore {

  private static final Logger LOG = LoggerFactory.getLogger(RegistryClaimStore.class);
  private static final int RESENDS = 3;
  private static final Duration RESEND_PAUSE = Duration.ofMillis(100);

  private final InstanceId self;
  private final Function<RegistryCommand, Mono<RegistryResult>> log;
  private final long keepMillis;

  /**
   * Creates the store of an instance.
   *
   * @param self this instance
   * @param log proposes a command to the replicated log
   * @param keepMillis how long a claim is kept, in log time
   * @since 0.1
   */
  public RegistryClaimStore(
      InstanceId self, Function<RegistryCommand, Mono<RegistryResult>> log, long keepMillis) {
    this.self = self;
    this.log = log;
    this.keepMillis = keepMillis;
  }

  @Override
  public void claim(RequestId id, IdempotencyClaim claim, Consumer<ClaimResult> callback) {
    RegistryCommand command =
        new RegistryCommand.PutClaim(claim.key(), claim.request(), self, id, keepMillis);
    propose(command)
        .map(result -> read(result, claim))
        .doOnError(error -> LOG.debug("claim of request {} is not decided", id, error))
        .onErrorReturn(new ClaimResult.Unavailable())
        .defaultIfEmpty(new ClaimResult.Unavailable())
        .subscribe(callback);
  }

  @Override
  public void settle(RequestId id, IdempotencyClaim claim, ExecutionStatus execution) {
    propose(new RegistryCommand.SettleClaim(claim.key(), self, id, execution))
        .subscribe(
            result -> LOG.trace("claim of request {} settled: {}", id, result),
            error -> LOG.debug("claim of request {} stays unsettled", id, error));
  }

  // Internals

  private Mono<RegistryResult> propose(RegistryCommand command) {
    return Mono.defer(() -> log.apply(command))
        .retryWhen(
            Retry.fixedDelay(RESENDS, RESEND_PAUSE).filter(RegistryClaimStore::isOutcomeUnknown));
  }

  private static boolean isOutcomeUnknown(Throwable error) {
    return error instanceof PrimrosegaugeException known
        && known.kind() == ErrorKind.OUTCOME_UNKNOWN;
  }

  private static ClaimResult read(RegistryResult result, IdempotencyClaim asked) {
    if (!(result instanceof RegistryResult.ClaimHeld held)) {
      return new ClaimResult.Unavailable();
    }
    Claim claim = held.claim();
    return held.isFirst()
        ? new ClaimResult.Granted()
        : new ClaimResult.AlreadyClaimed(
            claim.requestId(), claim.request().equals(asked.request()), claim.execution());
  }
}
