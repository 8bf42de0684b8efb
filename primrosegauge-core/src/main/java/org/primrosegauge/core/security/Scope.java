package org.primrosegauge.core.security;

import java.util.Optional;
import org.primrosegauge.core.CustomerId;
import org.primrosegauge.core.IdSyntax;

/**
 * What a token lets its holder act as.
 *
 * @param role role of the holder
 * @param customer customer that a {@link Role#CUSTOMER} acts for; empty for other roles
 * @since 0.1
 */
public record Scope(Role role, Optional<CustomerId> customer) {

  /** Roles. */
  public enum Role {
    /** Changes the configuration and sees everything. */
    OPERATOR("operator"),
    /** Submits and sees the work of one customer. */
    CUSTOMER("customer"),
    /** Announces itself as a worker or executor. */
    TARGET("target"),
    /** Exchanges state as another instance. */
    PEER("peer");

    private final String label;

    Role(String label) {
      this.label = label;
    }
  }

  private static final String CUSTOMER_PREFIX = Role.CUSTOMER.label + ":";

  /** Checks that exactly the role of a customer names one. */
  public Scope {
    if ((role == Role.CUSTOMER) != customer.isPresent()) {
      throw new IllegalArgumentException("scope " + role + " with customer " + customer);
    }
  }

  /**
   * Creates the scope of a role that acts for no customer.
   *
   * @since 0.1
   */
  public static Scope of(Role role) {
    return new Scope(role, Optional.empty());
  }

  /**
   * Creates the scope of a customer.
   *
   * @since 0.1
   */
  public static Scope of(CustomerId customer) {
    return new Scope(Role.CUSTOMER, Optional.of(customer));
  }

  /**
   * Reads {@code operator}, {@code customer:ID}, {@code target} or {@code peer}.
   *
   * @return the scope, or nothing when the text is none
   * @since 0.1
   */
  public static Optional<Scope> parse(String text) {
    if (text.startsWith(CUSTOMER_PREFIX)) {
      return Optional.of(text.substring(CUSTOMER_PREFIX.length()))
          .filter(IdSyntax::isValid)
          .map(id -> of(new CustomerId(id)));
    }
    for (Role role : Role.values()) {
      if (role != Role.CUSTOMER && role.label.equals(text)) {
        return Optional.of(of(role));
      }
    }
    return Optional.empty();
  }

  @Override
  public String toString() {
    return customer.map(id -> CUSTOMER_PREFIX + id).orElse(role.label);
  }
}
