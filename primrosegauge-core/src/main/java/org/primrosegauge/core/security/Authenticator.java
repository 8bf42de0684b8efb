package org.primrosegauge.core.security;

import org.primrosegauge.core.ErrorKind;
import org.primrosegauge.core.PrimrosegaugeException;

/**
 * Finds out who a caller is from the header {@code Authorization}, as RFC 6750 has it.
 *
 * <p>Implementations are thread-safe.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface Authenticator {

  /** Believes everybody; for a site without tokens. */
  Authenticator NONE = header -> Caller.ANYBODY;

  /**
   * Returns the caller.
   *
   * @param header value of the header; empty when the request has none
   * @throws PrimrosegaugeException of kind UNAUTHENTICATED when no known token is shown
   * @since 0.1
   */
  Caller authenticate(String header) throws PrimrosegaugeException;

  /**
   * Returns the caller that a table of tokens names.
   *
   * @throws PrimrosegaugeException of kind UNAUTHENTICATED when no known token is shown
   * @since 0.1
   */
  static Caller authenticate(TokenTable tokens, String header) throws PrimrosegaugeException {
    String scheme = "Bearer ";
    boolean bearer = header.regionMatches(true, 0, scheme, 0, scheme.length());
    if (!bearer) {
      throw unauthenticated("no bearer token");
    }
    return tokens
        .find(header.substring(scheme.length()).strip())
        .orElseThrow(() -> unauthenticated("the token is not known"));
  }

  private static PrimrosegaugeException unauthenticated(String summary) {
    return new PrimrosegaugeException(
        ErrorKind.UNAUTHENTICATED,
        summary,
        "send the header Authorization: Bearer TOKEN with a token of this site",
        "header Authorization");
  }
}
