package org.primrosegauge.core.registry.impl;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.Optional;
import java.util.TreeSet;
import org.primrosegauge.core.ExecutionStatus;
import org.primrosegauge.core.registry.Claim;
import org.primrosegauge.core.registry.ContentDigest;
import org.primrosegauge.core.registry.RegistryCommand.PutClaim;
import org.primrosegauge.core.registry.RegistryCommand.SettleClaim;
import org.primrosegauge.core.registry.RegistryResult;
import org.primrosegauge.core.registry.RegistryResult.ClaimHeld;
import org.primrosegauge.core.registry.RegistryResult.ClaimSettled;
import org.primrosegauge.core.registry.RegistryResult.LimitReached;
import org.primrosegauge.core.registry.RegistrySnapshot;
import org.primrosegauge.core.registry.cfg.RegistrySettings;

/**
 * Claims of service requests. The first claim of a key holds until it is given back or expires.
 *
 * <p>Single-threaded; lives as long as its registry.
 *
 * @since 0.1
 */
public final class ClaimStore {

  private final RegistrySettings settings;
  private final Map<ContentDigest, Claim> claims = new HashMap<>();
  private final NavigableSet<Claim> byExpiry =
      new TreeSet<>(
          Comparator.comparingLong(Claim::expiryLogMillis)
              .thenComparing(claim -> claim.key().value()));

  /** Creates the store that a snapshot holds. */
  public ClaimStore(RegistrySettings settings, RegistrySnapshot snapshot) {
    this.settings = settings;
    snapshot.claims().forEach(this::put);
  }

  /** Returns the claims by key. */
  public List<Claim> claims() {
    return claims.values().stream()
        .sorted(Comparator.comparing(claim -> claim.key().value()))
        .toList();
  }

  /** Returns the claim of a key; null when none. */
  public Claim find(ContentDigest key) {
    return claims.get(key);
  }

  /** Puts the claim unless the key has one. The same claim sent again is the first one. */
  public RegistryResult apply(PutClaim command, long logMillis) {
    Claim present = claims.get(command.key());
    if (present != null) {
      boolean isSame = present.isHeldBy(command.claimant(), command.requestId());
      return new ClaimHeld(present, isSame && present.execution().isEmpty());
    }
    if (claims.size() >= settings.maxClaims()) {
      return new LimitReached("max-claims");
    }
    Claim claim =
        new Claim(
            command.key(),
            command.request(),
            command.claimant(),
            command.requestId(),
            Optional.empty(),
            logMillis + command.keepMillis());
    put(claim);
    return new ClaimHeld(claim, true);
  }

  /** Records the holder's word on its work, if it is news. */
  public RegistryResult apply(SettleClaim command) {
    Claim present = claims.get(command.key());
    boolean isHolder = present != null && present.isHeldBy(command.claimant(), command.requestId());
    if (!isHolder || !isValidTransition(present.execution(), command.execution())) {
      return new ClaimSettled(false);
    }
    remove(present);
    if (command.execution() != ExecutionStatus.NOT_RUN) {
      put(present.withExecution(command.execution()));
    }
    return new ClaimSettled(true);
  }

  private static boolean isValidTransition(Optional<ExecutionStatus> known, ExecutionStatus next) {
    return known.isEmpty()
        || known.get() == ExecutionStatus.UNKNOWN && next != ExecutionStatus.UNKNOWN;
  }

  /** Drops the claims that expired. */
  public void expire(long logMillis) {
    while (!byExpiry.isEmpty() && byExpiry.first().expiryLogMillis() <= logMillis) {
      remove(byExpiry.first());
    }
  }

  private void put(Claim claim) {
    claims.put(claim.key(), claim);
    byExpiry.add(claim);
  }

  private void remove(Claim claim) {
    claims.remove(claim.key());
    byExpiry.remove(claim);
  }
}
