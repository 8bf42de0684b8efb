package org.primrosegauge.core.registry.impl;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import org.primrosegauge.core.registry.Claim;
import org.primrosegauge.core.registry.ContentDigest;
import org.primrosegauge.core.registry.RegistryCommand.PutClaim;
import org.primrosegauge.core.registry.RegistryResult;
import org.primrosegauge.core.registry.RegistryResult.ClaimHeld;
import org.primrosegauge.core.registry.RegistryResult.LimitReached;
import org.primrosegauge.core.registry.RegistrySnapshot;
import org.primrosegauge.core.registry.cfg.RegistrySettings;

/**
 * Claims of service requests. The first claim of a key holds until it expires.
 *
 * <p>Single-threaded; lives as long as its registry.
 *
 * @since 0.1
 */
public final class ClaimStore {

  private final RegistrySettings settings;
  private final Map<ContentDigest, Claim> claims = new HashMap<>();
  private final PriorityQueue<Claim> byExpiry =
      new PriorityQueue<>(Comparator.comparingLong(Claim::expiryLogMillis));

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

  /** Puts the claim unless the key has one. */
  public RegistryResult apply(PutClaim command, long logMillis) {
    Claim present = claims.get(command.key());
    if (present != null) {
      return new ClaimHeld(present, false);
    }
    if (claims.size() >= settings.maxClaims()) {
      return new LimitReached("max-claims");
    }
    Claim claim =
        new Claim(
            command.key(), command.request(), command.claimant(), logMillis + command.keepMillis());
    put(claim);
    return new ClaimHeld(claim, true);
  }

  /** Drops the claims that expired. */
  public void expire(long logMillis) {
    while (!byExpiry.isEmpty() && byExpiry.peek().expiryLogMillis() <= logMillis) {
      claims.remove(byExpiry.remove().key());
    }
  }

  private void put(Claim claim) {
    claims.put(claim.key(), claim);
    byExpiry.add(claim);
  }
}
