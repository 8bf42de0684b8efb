package org.primrosegauge.node.request;

import io.netty.handler.codec.http.HttpHeaderNames;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.primrosegauge.core.CustomerId;
import org.primrosegauge.core.ErrorKind;
import org.primrosegauge.core.InvalidInputException;
import org.primrosegauge.core.NotFoundException;
import org.primrosegauge.core.PrimrosegaugeException;
import org.primrosegauge.core.RequestId;
import org.primrosegauge.core.ServiceId;
import org.primrosegauge.core.registry.ContentDigest;
import org.primrosegauge.core.request.IdempotencyClaim;
import org.primrosegauge.core.request.RequestDescription;
import org.primrosegauge.core.security.AccessPolicy;
import org.primrosegauge.core.security.Operation;
import org.primrosegauge.core.site.Service;
import org.primrosegauge.node.duty.MonotonicClock;
import org.primrosegauge.node.http.HttpApi;
import org.primrosegauge.node.http.HttpExchange;
import org.primrosegauge.node.http.ProblemDetails;
import org.primrosegauge.node.metrics.NodeMetrics;
import reactor.core.publisher.Mono;

/**
 * Callers' interface to services: {@code POST /v1/services/{service}/requests}.
 *
 * <p>Thread-safe.
 */
final class CallerRoutes {

  static final String CUSTOMER_HEADER = "primrosegauge-customer";
  static final String REPEATABLE_HEADER = "primrosegauge-repeatable";
  static final String KEY_HEADER = "idempotency-key";

  private static final int MAX_KEY_CHARACTERS = 256;
  private static final String DEFAULT_MEDIA_TYPE = "application/octet-stream";

  /** What the headers say. */
  private record Headers(
      CustomerId customer, boolean repeatable, String key, long timeoutMillis, String mediaType) {}

  private final RoutingDuty duty;
  private final RequestIds ids;
  private final MonotonicClock clock;
  private final NodeMetrics metrics;
  private final AtomicLong bufferedBytes = new AtomicLong();

  CallerRoutes(RoutingDuty duty, RequestIds ids, MonotonicClock clock, NodeMetrics metrics) {
    this.duty = duty;
    this.ids = ids;
    this.clock = clock;
    this.metrics = metrics;
  }

  void register(HttpApi api) {
    api.route(HttpApi.Method.POST, "/v1/services/{service}/requests", this::handle);
  }

  private Mono<Void> handle(HttpExchange exchange) throws PrimrosegaugeException {
    ServiceId id = ServiceId.parse(exchange.pathPart("service"), "path");
    Optional<Service> service = duty.service(id);
    if (service.isEmpty()) {
      throw new NotFoundException(
          "service " + id + " is not configured", "correct the name", "path");
    }
    Headers headers = headersOf(exchange, service.get());
    AccessPolicy.check(exchange.caller(), Operation.SEND_REQUEST, headers.customer());
    long deadline = clock.nowMillis() + headers.timeoutMillis();
    long reserved = reserve(exchange, service.get());
    return exchange
        .body(service.get().maxBodyBytes())
        .flatMap(body -> submit(id, headers, deadline, body))
        .doFinally(signal -> bufferedBytes.addAndGet(-reserved))
        .flatMap(result -> answer(exchange, result));
  }

  private Mono<RequestResult> submit(ServiceId id, Headers headers, long deadline, byte[] body) {
    RequestDescription description =
        new RequestDescription(
            ids.next(),
            headers.customer(),
            id,
            deadline,
            headers.repeatable(),
            claimOf(id, headers, body),
            false,
            body.length);
    return duty.submit(description, new RequestBody(headers.mediaType(), body));
  }

  /** Memory for bodies is bounded over all requests, before any of the body is read. */
  private long reserve(HttpExchange exchange, Service service) throws PrimrosegaugeException {
    long bytes = service.maxBodyBytes();
    String stated = exchange.header(HttpHeaderNames.CONTENT_LENGTH.toString(), "");
    if (!stated.isEmpty()) {
      bytes = number("content-length", stated, service.maxBodyBytes());
    }
    if (bufferedBytes.addAndGet(bytes) > duty.settings().maxBufferedBytes()) {
      bufferedBytes.addAndGet(-bytes);
      metrics.refused("requests", RoutingEvent.BODIES_FULL);
      throw new PrimrosegaugeException(
          ErrorKind.OVER_LIMIT,
          "the instance holds too many request bodies",
          "send the request again after the time in Retry-After",
          "");
    }
    return bytes;
  }

  private Headers headersOf(HttpExchange exchange, Service service) throws InvalidInputException {
    CustomerId customer =
        CustomerId.parse(exchange.header(CUSTOMER_HEADER, null), "header " + CUSTOMER_HEADER);
    String timeout =
        exchange.header(ExecutorClient.DEADLINE_HEADER, Long.toString(service.timeoutMillis()));
    long most = duty.settings().maxDeadlineMillis();
    String key = exchange.header(KEY_HEADER, "");
    if (key.length() > MAX_KEY_CHARACTERS) {
      throw new InvalidInputException(
          "the idempotency key has " + key.length() + " characters",
          "use at most " + MAX_KEY_CHARACTERS,
          "header " + KEY_HEADER);
    }
    return new Headers(
        customer,
        flag(exchange),
        key,
        number(ExecutorClient.DEADLINE_HEADER, timeout, most),
        exchange.header(HttpHeaderNames.CONTENT_TYPE.toString(), DEFAULT_MEDIA_TYPE));
  }

  private static boolean flag(HttpExchange exchange) throws InvalidInputException {
    String text = exchange.header(REPEATABLE_HEADER, "false");
    if (text.equals("true") || text.equals("false")) {
      return text.equals("true");
    }
    throw new InvalidInputException(
        "'" + text + "' is neither true nor false",
        "use one of them",
        "header " + REPEATABLE_HEADER);
  }

  private static long number(String header, String text, long most) throws InvalidInputException {
    try {
      long value = Long.parseLong(text);
      if (value >= 0 && value <= most) {
        return value;
      }
    } catch (NumberFormatException e) {
      throw new InvalidInputException(
          "'" + text + "' is no number", "use digits only", "header " + header, e);
    }
    throw new InvalidInputException(
        "'" + text + "' is out of range", "use a number from 0 to " + most, "header " + header);
  }

  private static Optional<IdempotencyClaim> claimOf(
      ServiceId service, Headers headers, byte[] body) {
    if (headers.key().isEmpty()) {
      return Optional.empty();
    }
    String scope = headers.customer() + "\n" + service + "\n" + headers.key();
    return Optional.of(new IdempotencyClaim(ContentDigest.of(scope), ContentDigest.of(body)));
  }

  private static Mono<Void> answer(HttpExchange exchange, RequestResult result) {
    if (result instanceof RequestResult.Answered answered) {
      RequestId id = answered.attempt().request();
      exchange.response().header(ExecutorClient.REQUEST_HEADER, id.value());
      WholeAnswer answer = answered.answer();
      return exchange.send(answer.status(), answer.mediaType(), answer.body());
    }
    RequestResult.Refused refused = (RequestResult.Refused) result;
    exchange.response().header(ExecutorClient.REQUEST_HEADER, refused.request().value());
    Long retryAfter = refused.retryAfterMillis() > 0 ? refused.retryAfterMillis() : null;
    return exchange.sendProblem(
        ProblemDetails.of(
            refused.reason().kind(),
            RefusalTexts.summary(refused.reason()),
            RefusalTexts.remedy(refused.reason()),
            refused.execution(),
            retryAfter));
  }
}
