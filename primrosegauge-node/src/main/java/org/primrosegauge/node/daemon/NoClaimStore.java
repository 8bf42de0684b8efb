package org.primrosegauge.node.daemon;

import java.util.function.Consumer;
import org.primrosegauge.core.Execution;
import org.primrosegauge.core.RequestId;
import org.primrosegauge.core.request.ClaimResult;
import org.primrosegauge.core.request.ClaimStore;
import org.primrosegauge.core.request.IdempotencyClaim;

/** Grants nothing: requests with an idempotency key that must not be repeated are refused. */
final class NoClaimStore implements ClaimStore {

  @Override
  public void claim(RequestId id, IdempotencyClaim claim, Consumer<ClaimResult> callback) {
    callback.accept(new ClaimResult.Unavailable());
  }

  @Override
  public void settle(RequestId id, IdempotencyClaim claim, Execution execution) {}
}
