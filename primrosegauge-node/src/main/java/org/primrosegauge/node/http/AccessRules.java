package org.primrosegauge.node.http;

import org.primrosegauge.core.PrimrosegaugeException;
import org.primrosegauge.core.security.AccessPolicy;
import org.primrosegauge.core.security.Authenticator;
import org.primrosegauge.core.security.Operation;

/**
 * Tells which operation a route stands for. Routes on the work of a customer only recognize the
 * caller here: their handlers know the customer and check it. A route that is not named is the
 * operators'.
 *
 * <p>Stateless and thread-safe.
 */
final class AccessRules {

  private static final String JOBS = "/v1/jobs";
  private static final String SERVICES = "/v1/services/";
  private static final String TARGETS = "/v1/targets/";
  private static final String CONFIGURATION = "/v1/configuration";
  private static final String DOMAINS = "/v1/domains";

  private AccessRules() {}

  /**
   * Recognizes the caller of a request and checks what is known before the handler runs.
   *
   * @param path path of the route
   * @throws PrimrosegaugeException when the caller is not known or not allowed
   */
  static void admit(
      Authenticator authenticator, HttpApi.Method method, String path, HttpExchange exchange)
      throws PrimrosegaugeException {
    if (isOpen(path)) {
      return;
    }
    exchange.identify(authenticator.authenticate(exchange.header("Authorization", "")));
    if (!path.startsWith(JOBS) && !path.startsWith(SERVICES)) {
      AccessPolicy.check(exchange.caller(), operationOf(method, path));
    }
  }

  /** The platform's balancer and collector show no token. */
  private static boolean isOpen(String path) {
    return path.equals("/healthz") || path.equals("/readyz") || path.equals("/metrics");
  }

  private static Operation operationOf(HttpApi.Method method, String path) {
    boolean reads = method == HttpApi.Method.GET;
    if (path.startsWith(TARGETS) && !reads) {
      return Operation.REPORT_TARGET;
    }
    if (path.startsWith(CONFIGURATION)) {
      return reads ? Operation.READ_CONFIGURATION : Operation.CHANGE_CONFIGURATION;
    }
    if (path.startsWith(DOMAINS) && !reads) {
      return Operation.SWITCH_DOMAIN;
    }
    return Operation.READ_SITE;
  }
}
