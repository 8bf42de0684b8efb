package org.primrosegauge.node.request;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import java.util.concurrent.TimeoutException;
import org.primrosegauge.core.ExecutionStatus;
import org.primrosegauge.core.request.AttemptId;
import org.primrosegauge.core.request.AttemptOutcome;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;
import reactor.netty.resources.ConnectionProvider;

/**
 * Sends requests to executors and reads whole answers.
 *
 * <p>An answer counts only if it names the request and the attempt, states its length or is
 * chunked, and arrives to its end. The router limits how many attempts an executor has at a time,
 * and each attempt uses one connection, so connections are limited by the same number.
 *
 * <p>Thread-safe. Life-cycle: {@link #close} closes all connections.
 *
 * @since 0.1
 */
final class ExecutorClient implements AutoCloseable {

  static final String REQUEST_HEADER = "primrosegauge-request";
  static final String ATTEMPT_HEADER = "primrosegauge-attempt";
  static final String EXECUTION_HEADER = "primrosegauge-execution";
  static final String DEADLINE_HEADER = "primrosegauge-deadline-millis";

  private static final int CONNECT_TIMEOUT_MILLIS = 500;
  private static final int MAX_CONNECTIONS_PER_ADDRESS = 10_000;
  private static final Duration MAX_IDLE = Duration.ofSeconds(30);
  private static final int FIRST_SERVER_ERROR = 500;
  private static final String DEFAULT_MEDIA_TYPE = "application/octet-stream";

  private final ConnectionProvider connections =
      ConnectionProvider.builder("executors")
          .maxConnections(MAX_CONNECTIONS_PER_ADDRESS)
          .maxIdleTime(MAX_IDLE)
          .lifo()
          .build();

  // A client that sends again by itself after a reset connection could run a request twice.
  private final HttpClient http =
      HttpClient.create(connections)
          .disableRetry(true)
          .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
          .option(ChannelOption.TCP_NODELAY, true);

  @Override
  public void close() {
    connections.dispose();
  }

  /**
   * Sends one attempt. The result never fails; cancelling it closes the connection.
   *
   * @param address base address of the executor
   * @param attempt attempt that the answer has to name
   * @param body body to send
   * @param maxAnswerBytes longest answer, in bytes
   * @param remainingMillis time until the deadline, in milliseconds
   */
  Mono<AttemptResult> send(
      String address,
      AttemptId attempt,
      RequestBody body,
      int maxAnswerBytes,
      long remainingMillis) {
    return Mono.defer(
        () -> {
          HandOver handOver = new HandOver();
          return http.doOnRequest((request, connection) -> handOver.begin())
              .headers(headers -> describe(headers, attempt, body, remainingMillis))
              .post()
              .uri(address + "/v1/requests/" + attempt.request() + "/" + attempt.number())
              .send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(body.bytes())))
              .response(
                  (response, content) -> {
                    handOver.answered();
                    return read(response, content, attempt, maxAnswerBytes);
                  })
              .next()
              .timeout(Duration.ofMillis(Math.max(1, remainingMillis)))
              .onErrorResume(error -> Mono.just(handOver.outcomeOf(error)));
        });
  }

  private static void describe(
      HttpHeaders headers, AttemptId attempt, RequestBody body, long remainingMillis) {
    headers.set(HttpHeaderNames.CONTENT_TYPE, body.mediaType());
    headers.set(REQUEST_HEADER, attempt.request().value());
    headers.set(ATTEMPT_HEADER, Integer.toString(attempt.number()));
    headers.set(DEADLINE_HEADER, Long.toString(remainingMillis));
  }

  private static Mono<AttemptResult> read(
      HttpClientResponse response, ByteBufFlux content, AttemptId attempt, int maxBytes) {
    HttpHeaders headers = response.responseHeaders();
    if (!names(headers, attempt)) {
      return Mono.just(AttemptResult.without(AttemptOutcome.MISMATCHED));
    }
    if (!statesItsEnd(headers)) {
      return Mono.just(AttemptResult.without(AttemptOutcome.UNUSABLE_ANSWER));
    }
    int status = response.status().code();
    String mediaType = headers.get(HttpHeaderNames.CONTENT_TYPE, DEFAULT_MEDIA_TYPE);
    AttemptOutcome outcome = outcomeOf(status, headers);
    return LimitedBody.read(content, maxBytes)
        .map(bytes -> new AttemptResult(outcome, new WholeAnswer(status, mediaType, bytes)))
        .defaultIfEmpty(AttemptResult.without(AttemptOutcome.UNUSABLE_ANSWER));
  }

  private static boolean names(HttpHeaders headers, AttemptId attempt) {
    return attempt.request().value().equals(headers.get(REQUEST_HEADER))
        && Integer.toString(attempt.number()).equals(headers.get(ATTEMPT_HEADER));
  }

  /** A body that ends with its connection cannot be told from one that was cut. */
  private static boolean statesItsEnd(HttpHeaders headers) {
    return headers.contains(HttpHeaderNames.CONTENT_LENGTH)
        || headers.containsValue(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED, true);
  }

  private static AttemptOutcome outcomeOf(int status, HttpHeaders headers) {
    if (status < FIRST_SERVER_ERROR) {
      return AttemptOutcome.ANSWERED;
    }
    boolean notRun = ExecutionStatus.NOT_RUN.label().equals(headers.get(EXECUTION_HEADER));
    return notRun ? AttemptOutcome.DECLINED : AttemptOutcome.ANSWERED_ERROR;
  }

  /** How far one attempt came; written by the connection's event loop. */
  private static final class HandOver {

    private volatile boolean begun;
    private volatile boolean answered;

    void begin() {
      begun = true;
    }

    void answered() {
      answered = true;
    }

    AttemptResult outcomeOf(Throwable error) {
      if (!begun) {
        return AttemptResult.without(AttemptOutcome.NOT_SENT);
      }
      if (error instanceof TimeoutException) {
        return AttemptResult.without(AttemptOutcome.TIMED_OUT);
      }
      return AttemptResult.without(
          answered ? AttemptOutcome.UNUSABLE_ANSWER : AttemptOutcome.CONNECTION_LOST);
    }
  }
}
