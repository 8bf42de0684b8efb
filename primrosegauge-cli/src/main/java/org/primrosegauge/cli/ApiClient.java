package org.primrosegauge.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.ssl.SslContextBuilder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;
import java.util.Optional;
import java.util.function.Consumer;
import javax.net.ssl.SSLException;
import org.primrosegauge.core.ErrorKind;
import org.primrosegauge.core.InvalidInputException;
import org.primrosegauge.core.PrimrosegaugeException;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;

/**
 * Sends the requests of the commands to one instance and reads JSON answers.
 *
 * <p>Blocks the calling thread. Used by one thread.
 */
final class ApiClient {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int FIRST_ERROR_STATUS = 400;

  private final HttpClient http;
  private final String endpoint;
  private final Duration timeout;

  /**
   * Creates a client.
   *
   * @param endpoint address of the instance, with scheme
   * @param token token of the caller; empty sends none
   * @param trust certificates that the instance is checked against; empty uses those of the JDK
   * @param timeout longest wait for an answer
   * @throws InvalidInputException when the certificates cannot be read
   */
  ApiClient(String endpoint, String token, Optional<Path> trust, Duration timeout)
      throws InvalidInputException {
    HttpClient plain = HttpClient.newConnection().baseUrl(endpoint);
    HttpClient secured = trust.isPresent() ? secured(plain, trust.get()) : plain;
    this.http =
        token.isEmpty()
            ? secured
            : secured.headers(
                headers -> headers.set(HttpHeaderNames.AUTHORIZATION, "Bearer " + token));
    this.endpoint = endpoint;
    this.timeout = timeout;
  }

  JsonNode get(String path) throws PrimrosegaugeException {
    return send(HttpMethod.GET, path, "", headers -> {});
  }

  JsonNode delete(String path) throws PrimrosegaugeException {
    return send(HttpMethod.DELETE, path, "", headers -> {});
  }

  JsonNode send(HttpMethod method, String path, String body, Consumer<HttpHeaders> headers)
      throws PrimrosegaugeException {
    return read(exchange(method, path, body, headers));
  }

  /** Sends a request and returns the body of the answer as it came. */
  String text(HttpMethod method, String path, String body, Consumer<HttpHeaders> headers)
      throws PrimrosegaugeException {
    Answer answer = exchange(method, path, body, headers);
    if (answer.status() >= FIRST_ERROR_STATUS) {
      throw problem(answer);
    }
    return answer.body();
  }

  private Answer exchange(
      HttpMethod method, String path, String body, Consumer<HttpHeaders> headers)
      throws PrimrosegaugeException {
    try {
      return http.headers(headers::accept)
          .request(method)
          .uri(path)
          .send(Mono.just(Unpooled.wrappedBuffer(body.getBytes(StandardCharsets.UTF_8))))
          .responseSingle(
              (response, content) ->
                  content
                      .asString(StandardCharsets.UTF_8)
                      .defaultIfEmpty("")
                      .map(text -> Answer.of(response, text)))
          .block(timeout);
    } catch (RuntimeException e) {
      throw unreachable(method, e);
    }
  }

  private static HttpClient secured(HttpClient client, Path trust) throws InvalidInputException {
    try {
      var context = SslContextBuilder.forClient().trustManager(trust.toFile()).build();
      return client.secure(spec -> spec.sslContext(context));
    } catch (SSLException | IllegalArgumentException e) {
      throw new InvalidInputException(
          "the certificates cannot be read", "name a PEM file", trust.toString(), e);
    }
  }

  private ApiProblemException unreachable(HttpMethod method, RuntimeException cause) {
    boolean reading = method.equals(HttpMethod.GET);
    Throwable reason = reactor.core.Exceptions.unwrap(cause);
    return new ApiProblemException(
        reading || reason instanceof java.net.ConnectException
            ? ErrorKind.UNAVAILABLE
            : ErrorKind.OUTCOME_UNKNOWN,
        "no whole answer from " + endpoint + ": " + reason.getMessage(),
        "check the endpoint, or name another instance with --endpoint",
        reading || reason instanceof java.net.ConnectException ? "not-run" : "unknown",
        "");
  }

  private static JsonNode read(Answer answer) throws ApiProblemException {
    if (answer.status() >= FIRST_ERROR_STATUS) {
      throw problem(answer);
    }
    return answer.body().isEmpty() ? MissingNode.getInstance() : parse(answer);
  }

  private static JsonNode parse(Answer answer) throws ApiProblemException {
    try {
      return JSON.readTree(answer.body());
    } catch (JsonProcessingException e) {
      throw new ApiProblemException(
          ErrorKind.OUTCOME_UNKNOWN,
          "the answer with status " + answer.status() + " is not JSON",
          "check that the endpoint is an instance of primrosegauge",
          "unknown",
          "");
    }
  }

  private static ApiProblemException problem(Answer answer) {
    JsonNode body;
    try {
      body = JSON.readTree(answer.body());
    } catch (JsonProcessingException e) {
      body = MissingNode.getInstance();
    }
    String label = body.path("kind").asText("");
    ErrorKind kind =
        Arrays.stream(ErrorKind.values())
            .filter(each -> each.label().equals(label))
            .findFirst()
            .orElse(ErrorKind.INTERNAL);
    return new ApiProblemException(
        kind,
        body.path("detail").asText("the instance answered with status " + answer.status()),
        body.path("remedy").asText("check that the endpoint is an instance of primrosegauge"),
        body.path("execution").asText("unknown"),
        answer.retryAfter());
  }

  /** One answer with its whole body. */
  private record Answer(int status, String retryAfter, String body) {

    static Answer of(HttpClientResponse response, String body) {
      String retryAfter = response.responseHeaders().get(HttpHeaderNames.RETRY_AFTER, "");
      return new Answer(response.status().code(), retryAfter, body);
    }
  }
}
