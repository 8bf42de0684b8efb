package org.primrosegauge.core.security;

import org.primrosegauge.core.CustomerId;
import org.primrosegauge.core.ErrorKind;
import org.primrosegauge.core.NotFoundException;
import org.primrosegauge.core.PrimrosegaugeException;
import org.primrosegauge.core.security.Scope.Role;

/**
 * Decides what a caller may do. An operator may do everything but report as a target or a peer; a
 * customer may do what concerns its own work; nobody else sees it.
 *
 * <p>Stateless and thread-safe.
 *
 * @since 0.1
 */
public final class AccessPolicy {

  private AccessPolicy() {}

  /**
   * Checks an operation that concerns no customer.
   *
   * @throws PrimrosegaugeException of kind FORBIDDEN when the caller may not do it
   * @throws IllegalArgumentException when the operation concerns a customer
   * @since 0.1
   */
  public static void check(Caller caller, Operation operation) throws PrimrosegaugeException {
    if (operation.concernsCustomer()) {
      throw new IllegalArgumentException(operation + " needs a customer");
    }
    if (!caller.is(roleFor(operation))) {
      throw forbidden(caller, operation);
    }
  }

  /**
   * Checks an operation on the work of a customer.
   *
   * @throws PrimrosegaugeException of kind FORBIDDEN when the caller may not do it
   * @since 0.1
   */
  public static void check(Caller caller, Operation operation, CustomerId owner)
      throws PrimrosegaugeException {
    if (!allows(caller, operation, owner)) {
      throw forbidden(caller, operation);
    }
  }

  /**
   * Checks an operation on a job. A job of another customer looks like one that does not exist, so
   * that ids of jobs cannot be found out.
   *
   * @param absent error for a job that does not exist
   * @throws NotFoundException the error given, when the caller may not do it
   * @since 0.1
   */
  public static void checkJob(
      Caller caller, Operation operation, CustomerId owner, NotFoundException absent)
      throws NotFoundException {
    if (!allows(caller, operation, owner)) {
      throw absent;
    }
  }

  /**
   * Tells whether the caller may carry out an operation on the work of a customer.
   *
   * @since 0.1
   */
  public static boolean allows(Caller caller, Operation operation, CustomerId owner) {
    return operation.concernsCustomer() && (caller.is(Role.OPERATOR) || caller.actsFor(owner));
  }

  private static Role roleFor(Operation operation) {
    return switch (operation) {
      case REPORT_TARGET -> Role.TARGET;
      case EXCHANGE_STATE -> Role.PEER;
      default -> Role.OPERATOR;
    };
  }

  private static PrimrosegaugeException forbidden(Caller caller, Operation operation) {
    return new PrimrosegaugeException(
        ErrorKind.FORBIDDEN,
        "token '" + caller.name() + "' does not allow " + operation,
        "use a token with the scope for it, or ask an operator for one",
        "header Authorization");
  }
}
