package org.primrosegauge.node.http;

import io.netty.channel.ChannelOption;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.primrosegauge.core.ErrorKind;
import org.primrosegauge.core.ExecutionStatus;
import org.primrosegauge.core.PrimrosegaugeException;
import org.primrosegauge.core.security.Authenticator;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRoutes;

/**
 * HTTP server of an instance. Parts of the instance add their routes before it starts.
 *
 * <p>Handlers run on the event loops and must not block. Life-cycle: {@link #route} any number of
 * times, {@link #start} once, {@link #drain} to refuse new work and wait for what is in flight,
 * {@link #close} at the end.
 *
 * @since 0.1
 */
public final class HttpApi implements AutoCloseable {

  private static final int CONNECTION_BACKLOG = 512;
  private static final Duration DRAIN_CHECK_INTERVAL = Duration.ofMillis(20);

  /** Answers one request. */
  @FunctionalInterface
  public interface Handler {

    /**
     * Answers one request.
     *
     * @return completes when the answer has been written; an error becomes problem details
     * @throws PrimrosegaugeException when the request is refused before any work
     */
    Mono<Void> handle(HttpExchange exchange) throws PrimrosegaugeException;
  }

  /** HTTP methods that routes use. */
  public enum Method {
    /** Reads. */
    GET,
    /** Creates or carries out. */
    POST,
    /** Sets to a stated content. */
    PUT,
    /** Removes or cancels. */
    DELETE
  }

  private record Route(Method method, String path, boolean whileDraining, Handler handler) {}

  private final List<Route> routes = new ArrayList<>();
  private final AtomicBoolean draining = new AtomicBoolean();
  private final AtomicInteger inFlight = new AtomicInteger();
  private Authenticator authenticator = Authenticator.NONE;
  private DisposableServer server;

  // Settings

  /**
   * Adds a route that is refused while the instance drains.
   *
   * @since 0.1
   */
  public HttpApi route(Method method, String path, Handler handler) {
    routes.add(new Route(method, path, false, handler));
    return this;
  }

  /**
   * Adds a route that also answers while the instance drains, such as health, metrics and the
   * reports of targets.
   *
   * @since 0.1
   */
  public HttpApi routeAlways(Method method, String path, Handler handler) {
    routes.add(new Route(method, path, true, handler));
    return this;
  }

  /**
   * Sets how callers are recognized; by default everybody is believed.
   *
   * @since 0.1
   */
  public HttpApi authenticator(Authenticator newAuthenticator) {
    authenticator = newAuthenticator;
    return this;
  }

  // Life-cycle

  /**
   * Binds the port and serves.
   *
   * @param prepared server with transport settings such as TLS; host and port are set here
   * @since 0.1
   */
  public void start(HttpServer prepared, String host, int port) {
    server =
        prepared
            .host(host)
            .port(port)
            .option(ChannelOption.SO_BACKLOG, CONNECTION_BACKLOG)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .route(this::addAll)
            .bindNow();
  }

  /**
   * Refuses new work and waits until requests in flight have been answered.
   *
   * @param most longest wait
   * @return whether all were answered in time
   * @since 0.1
   */
  public Mono<Boolean> drain(Duration most) {
    draining.set(true);
    return Mono.delay(DRAIN_CHECK_INTERVAL)
        .repeat(() -> inFlight.get() > 0)
        .then(Mono.just(true))
        .timeout(most, Mono.just(false));
  }

  @Override
  public void close() {
    if (server != null) {
      server.disposeNow();
    }
  }

  // Accessors

  /**
   * Returns the port in use.
   *
   * @since 0.1
   */
  public int port() {
    return server.port();
  }

  /**
   * Tells whether new work is refused.
   *
   * @since 0.1
   */
  public boolean isDraining() {
    return draining.get();
  }

  // Internals

  private void addAll(HttpServerRoutes serverRoutes) {
    for (Route route : routes) {
      switch (route.method()) {
        case GET -> serverRoutes.get(route.path(), (q, r) -> serve(route, new HttpExchange(q, r)));
        case POST ->
            serverRoutes.post(route.path(), (q, r) -> serve(route, new HttpExchange(q, r)));
        case PUT -> serverRoutes.put(route.path(), (q, r) -> serve(route, new HttpExchange(q, r)));
        case DELETE ->
            serverRoutes.delete(route.path(), (q, r) -> serve(route, new HttpExchange(q, r)));
        default -> throw new IllegalStateException("unknown method " + route.method());
      }
    }
  }

  private Mono<Void> serve(Route route, HttpExchange exchange) {
    if (route.whileDraining()) {
      return guarded(route, exchange);
    }
    // Counted before the look at the flag, so that a drain never misses a request that got through.
    inFlight.incrementAndGet();
    Mono<Void> answer =
        draining.get() ? exchange.sendProblem(drainingProblem()) : guarded(route, exchange);
    return answer.doFinally(signal -> inFlight.decrementAndGet());
  }

  private Mono<Void> guarded(Route route, HttpExchange exchange) {
    return Mono.defer(
            () -> {
              try {
                AccessRules.admit(authenticator, route.method(), route.path(), exchange);
                return route.handler().handle(exchange);
              } catch (PrimrosegaugeException e) {
                return Mono.error(e);
              }
            })
        .onErrorResume(
            error ->
                exchange.response().hasSentHeaders()
                    ? Mono.error(error)
                    : exchange.sendError(error));
  }

  private static ProblemDetails drainingProblem() {
    return ProblemDetails.of(
        ErrorKind.UNAVAILABLE,
        "the instance is shutting down",
        "send the request to another instance",
        ExecutionStatus.NOT_RUN,
        0L);
  }
}
