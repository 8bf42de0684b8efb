package org.primrosegauge.core.security;

import java.util.Set;
import org.primrosegauge.core.CustomerId;
import org.primrosegauge.core.security.Scope.Role;

/**
 * Who sends a request.
 *
 * @param name name of the token, for logs and the history
 * @param scopes what the token lets the caller act as
 * @since 0.1
 */
public record Caller(String name, Set<Scope> scopes) {

  /** The caller on a site without tokens: everybody may act as anybody. */
  public static final Caller ANYBODY =
      new Caller(
          "anybody", Set.of(Scope.of(Role.OPERATOR), Scope.of(Role.TARGET), Scope.of(Role.PEER)));

  /** Copies the set. */
  public Caller {
    scopes = Set.copyOf(scopes);
  }

  /**
   * Tells whether the caller has a role that acts for no customer.
   *
   * @since 0.1
   */
  public boolean is(Role role) {
    return scopes.stream().anyMatch(scope -> scope.role() == role);
  }

  /**
   * Tells whether the caller acts for a customer.
   *
   * @since 0.1
   */
  public boolean actsFor(CustomerId customer) {
    return scopes.contains(Scope.of(customer));
  }
}
