package org.primrosegauge.node.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.primrosegauge.core.ErrorKind;
import org.primrosegauge.core.ExecutionStatus;
import org.primrosegauge.core.InvalidInputException;
import org.primrosegauge.core.PrimrosegaugeException;
import org.primrosegauge.core.security.Caller;
import org.primrosegauge.wire.WireMappers;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * One HTTP request and its response, with bodies as JSON and errors as problem details.
 *
 * <p>Used by one event loop at a time.
 *
 * @since 0.1
 */
public final class HttpExchange {

  /** Media type of error answers, from RFC 9457. */
  public static final String PROBLEM_JSON = "application/problem+json";

  private static final Logger LOG = LoggerFactory.getLogger(HttpExchange.class);
  private static final ObjectMapper JSON = WireMappers.json();
  private static final long MILLIS_PER_SECOND = 1_000;

  private final HttpServerRequest request;
  private final HttpServerResponse response;
  private Caller caller = Caller.ANYBODY;

  HttpExchange(HttpServerRequest request, HttpServerResponse response) {
    this.request = request;
    this.response = response;
  }

  // Accessors

  /**
   * Returns the request as the HTTP library sees it.
   *
   * @since 0.1
   */
  public HttpServerRequest request() {
    return request;
  }

  /**
   * Returns the response as the HTTP library sees it.
   *
   * @since 0.1
   */
  public HttpServerResponse response() {
    return response;
  }

  /**
   * Returns who sent the request.
   *
   * @since 0.1
   */
  public Caller caller() {
    return caller;
  }

  /** Sets who sent the request, before the handler runs. */
  void identify(Caller sender) {
    caller = sender;
  }

  /**
   * Returns a part of the path by its name in the route.
   *
   * @since 0.1
   */
  public String pathPart(String name) {
    return request.param(name);
  }

  /**
   * Returns a header, or a default when it is missing.
   *
   * @since 0.1
   */
  public String header(String name, String missing) {
    return request.requestHeaders().get(name, missing);
  }

  /**
   * Returns a query parameter that is a whole number, or a default when it is missing.
   *
   * @throws InvalidInputException when it is no number from 0 to the largest allowed
   * @since 0.1
   */
  public long queryNumber(String name, long missing, long most) throws InvalidInputException {
    var values = new io.netty.handler.codec.http.QueryStringDecoder(request.uri()).parameters();
    if (!values.containsKey(name)) {
      return missing;
    }
    String text = values.get(name).get(0);
    try {
      long value = Long.parseLong(text);
      if (value >= 0 && value <= most) {
        return value;
      }
    } catch (NumberFormatException e) {
      LOG.debug("query parameter {} is no number", name);
    }
    throw new InvalidInputException(
        "'" + text + "' is out of range", "use a number from 0 to " + most, "query " + name);
  }

  // Main API

  /**
   * Reads the body up to a limit.
   *
   * @param maxBytes most bytes that are kept; a longer body is refused while it arrives
   * @since 0.1
   */
  public Mono<byte[]> body(int maxBytes) {
    return Mono.defer(
        () -> {
          io.netty.buffer.ByteBuf collected = response.alloc().buffer();
          return request
              .receive()
              .doOnNext(chunk -> append(collected, chunk, maxBytes))
              .then(Mono.fromCallable(() -> bytesOf(collected)))
              .doFinally(signal -> collected.release());
        });
  }

  /**
   * Reads the body as a JSON document.
   *
   * @since 0.1
   */
  public <T> Mono<T> json(Class<T> type, int maxBytes) {
    return body(maxBytes).flatMap(bytes -> Mono.fromCallable(() -> parse(type, bytes)));
  }

  /**
   * Answers with a JSON document.
   *
   * @since 0.1
   */
  public Mono<Void> sendJson(int status, Object document) {
    return send(status, "application/json", write(document));
  }

  /**
   * Answers with a text.
   *
   * @since 0.1
   */
  public Mono<Void> sendText(int status, String mediaType, String text) {
    return send(status, mediaType, text.getBytes(StandardCharsets.UTF_8));
  }

  /**
   * Answers with an error.
   *
   * @since 0.1
   */
  public Mono<Void> sendProblem(ProblemDetails problem) {
    if (problem.retryAfterMillis() != null) {
      long seconds =
          Math.max(1, (problem.retryAfterMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND);
      response.header(HttpHeaderNames.RETRY_AFTER, Long.toString(seconds));
    }
    return send(problem.status(), PROBLEM_JSON, write(problem));
  }

  /**
   * Answers with the error that an operation ended with. The answer says {@code not-run} unless the
   * error leaves open whether the operation was carried out.
   *
   * @since 0.1
   */
  public Mono<Void> sendError(Throwable error) {
    Throwable cause = reactor.core.Exceptions.unwrap(error);
    if (cause instanceof PrimrosegaugeException known) {
      return sendProblem(
          ProblemDetails.of(known, executionOf(known.kind()), retryAfter(known.kind())));
    }
    LOG.error("request {} {} failed", request.method(), request.uri(), cause);
    return sendProblem(
        ProblemDetails.of(
            ErrorKind.INTERNAL,
            "the instance failed on this request",
            "try another instance and report the log line of this one",
            ExecutionStatus.UNKNOWN,
            null));
  }

  /**
   * Answers with a body.
   *
   * @since 0.1
   */
  public Mono<Void> send(int status, String mediaType, byte[] body) {
    response.status(status);
    response.header(HttpHeaderNames.CONTENT_TYPE, mediaType);
    response.header(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(body.length));
    return response.sendByteArray(Flux.just(body)).then();
  }

  // Internals

  private static ExecutionStatus executionOf(ErrorKind kind) {
    return switch (kind) {
      case OUTCOME_UNKNOWN, INTERNAL, TARGET_FAILED -> ExecutionStatus.UNKNOWN;
      default -> ExecutionStatus.NOT_RUN;
    };
  }

  private static Long retryAfter(ErrorKind kind) {
    return kind == ErrorKind.UNAVAILABLE || kind == ErrorKind.OVER_LIMIT ? MILLIS_PER_SECOND : null;
  }

  private static void append(
      io.netty.buffer.ByteBuf collected, io.netty.buffer.ByteBuf chunk, int maxBytes) {
    if (collected.readableBytes() + chunk.readableBytes() > maxBytes) {
      throw reactor.core.Exceptions.propagate(
          new PrimrosegaugeException(
              ErrorKind.OVER_LIMIT,
              "the body is larger than " + maxBytes + " bytes",
              "send a smaller body or ask an operator to raise the limit",
              "body"));
    }
    collected.writeBytes(chunk);
  }

  private static byte[] bytesOf(io.netty.buffer.ByteBuf collected) {
    byte[] bytes = new byte[collected.readableBytes()];
    collected.readBytes(bytes);
    return bytes;
  }

  private static <T> T parse(Class<T> type, byte[] bytes) throws InvalidInputException {
    try {
      T document = JSON.readValue(bytes, type);
      if (document == null) {
        throw new InvalidInputException("the body is null", "send a JSON object", "body");
      }
      return document;
    } catch (JsonMappingException e) {
      throw new InvalidInputException(
          firstLine(e.getOriginalMessage()), "correct the field", "body " + path(e), e);
    } catch (IOException e) {
      throw new InvalidInputException(
          "the body is not JSON: " + firstLine(e.getMessage()), "send a JSON object", "body", e);
    }
  }

  private static String path(JsonMappingException error) {
    StringBuilder path = new StringBuilder();
    for (JsonMappingException.Reference reference : error.getPath()) {
      path.append('.').append(reference.getFieldName());
    }
    return path.toString();
  }

  private static String firstLine(String message) {
    return message == null ? "unreadable" : message.lines().findFirst().orElse("unreadable");
  }

  private static byte[] write(Object document) {
    try {
      return JSON.writeValueAsBytes(document);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("document cannot be written", e);
    }
  }
}
