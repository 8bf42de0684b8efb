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
 * Claims of idempotency keys. The first claim of a key holds it until it is released or expires.
 *
 * <p>Single-threaded; a registry creates a new store when it restores a snapshot.
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

  /** Creates a store with the contents of a snapshot. */
  public ClaimStore(RegistrySettings settings, RegistrySnapshot snapshot) {
    this.settings = settings;
    snapshot.claims().forEach(this::put);
  }

  /** Returns the claims, ordered by key. */
  public List<Claim> claims() {
    return claims.values().stream()
        .sorted(Comparator.comparing(claim -> claim.key().value()))
        .toList();
  }

  /** Returns the claim of a key; null if there is none. */
  public Claim find(ContentDigest key) {
    return claims.get(key);
  }

  /** Claims the key unless it is already claimed. Repeating the same claim is idempotent. */
  public RegistryResult apply(PutClaim command, long logMillis) {
    Claim existing = claims.get(command.key());
    if (existing != null) {
      boolean isSame = existing.isHeldBy(command.claimant(), command.requestId());
      return new ClaimHeld(existing, isSame && existing.execution().isEmpty());
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

  /** Records whether the holder's request ran, unless a known outcome is already recorded. */
  public RegistryResult apply(SettleClaim command) {
    Claim existing = claims.get(command.key());
    boolean isHolder =
        existing != null && existing.isHeldBy(command.claimant(), command.requestId());
    if (!isHolder || !isValidTransition(existing.execution(), command.execution())) {
      return new ClaimSettled(false);
    }
    remove(existing);
    if (command.execution() != ExecutionStatus.NOT_RUN) {
      put(existing.withExecution(command.execution()));
    }
    return new ClaimSettled(true);
  }

  private static boolean isValidTransition(Optional<ExecutionStatus> known, ExecutionStatus next) {
    return known.isEmpty()
        || known.get() == ExecutionStatus.UNKNOWN && next != ExecutionStatus.UNKNOWN;
  }

  /** Removes expired claims. */
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
