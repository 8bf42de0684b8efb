package org.primrosegauge.core.security;

import java.util.List;
import java.util.Optional;

/**
 * All tokens of a site. Immutable and thread-safe.
 *
 * @param grants tokens and what they allow
 * @since 0.1
 */
public record TokenTable(List<Grant> grants) {

  /**
   * One token.
   *
   * @param digest digest of the token
   * @param caller who holds it
   */
  public record Grant(TokenDigest digest, Caller caller) {}

  /** Copies the list. */
  public TokenTable {
    grants = List.copyOf(grants);
  }

  /**
   * Finds the holder of a token. Every grant is compared, so that the time tells nothing about the
   * position of a match.
   *
   * @param token token as the caller sent it
   * @since 0.1
   */
  public Optional<Caller> find(String token) {
    TokenDigest presented = TokenDigest.ofToken(token);
    Caller found = null;
    for (Grant grant : grants) {
      if (grant.digest().matches(presented)) {
        found = grant.caller();
      }
    }
    return Optional.ofNullable(found);
  }
}
