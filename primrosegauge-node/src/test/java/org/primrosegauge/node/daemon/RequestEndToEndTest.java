package org.primrosegauge.node.daemon;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.http.HttpResponse;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.primrosegauge.standin.ExecutorStandin;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;

/** Service requests through whole instances on the loopback. The time limit only ends a hang. */
@Timeout(120)
class RequestEndToEndTest {

  private static final int NEAR = 0;
  private static final int FAR = 1;
  private static final int REQUESTS = 20;

  private LoopbackSite site;

  @BeforeEach
  void start() throws Exception {
    site = new LoopbackSite();
  }

  @AfterEach
  void stop() throws Exception {
    site.close();
  }

  @Test
  void requestIsAnswered() throws Exception {
    ExecutorStandin executor = site.attach(NEAR, "x1", Optional.empty());
    HttpResponse<String> answer = site.post(NEAR, "twelve drums", "");
    assertThat(answer.statusCode()).isEqualTo(200);
    assertThat(answer.body()).isEqualTo("twelve drums");
    assertThat(executor.begun()).isEqualTo(1);
  }

  @Test
  void requestIsForwardedToThePeerThatHasTheExecutor() throws Exception {
    ExecutorStandin executor = site.attach(FAR, "x1", Optional.empty());
    LoopbackSite.until(() -> site.post(NEAR, "twelve drums", "").statusCode() == 200);
    int before = executor.begun();
    HttpResponse<String> answer = site.post(NEAR, "twelve drums", "");
    assertThat(answer.body()).isEqualTo("twelve drums");
    assertThat(executor.begun()).isEqualTo(before + 1);
    assertThat(site.get(NEAR, "/v1/status").path("executors").asInt()).isEqualTo(0);
  }

  @Test
  void requestWithoutAnyExecutorIsRefusedAsNotRun() throws Exception {
    HttpResponse<String> answer = site.post(NEAR, "twelve drums", "");
    JsonNode problem = site.read(answer);
    assertThat(answer.statusCode()).isEqualTo(503);
    assertThat(problem.path("execution").asText()).isEqualTo("not-run");
    assertThat(answer.headers().firstValue("retry-after")).isPresent();
  }

  @Test
  void requestSentAgainToAnotherInstanceRunsOnce() throws Exception {
    final ExecutorStandin first = site.attach(NEAR, "x1", Optional.empty());
    final ExecutorStandin second = site.attach(FAR, "x2", Optional.empty());
    assertThat(site.post(NEAR, "twelve drums", "order-7").statusCode()).isEqualTo(200);
    // The outcome is recorded after the answer; until then it is unknown to others.
    LoopbackSite.until(
        () -> {
          HttpResponse<String> again = site.post(FAR, "twelve drums", "order-7");
          assertThat(again.statusCode()).isEqualTo(409);
          return site.read(again).path("execution").asText().equals("ran");
        });
    assertThat(site.post(FAR, "another content", "order-7").statusCode()).isEqualTo(409);
    assertThat(first.begun() + second.begun()).isEqualTo(1);
  }

  @Test
  void leavingExecutorGetsNothingNew() throws Exception {
    ExecutorStandin leaving = site.attach(NEAR, "x1", Optional.empty());
    final ExecutorStandin staying = site.attach(NEAR, "x2", Optional.empty());
    leaving.leave();
    site.awaitState(NEAR, "x1", "leaving");
    int before = leaving.begun();
    for (int i = 0; i < REQUESTS; i++) {
      assertThat(site.post(NEAR, "twelve drums", "").statusCode()).isEqualTo(200);
    }
    assertThat(leaving.begun()).isEqualTo(before);
    assertThat(staying.begun()).isEqualTo(REQUESTS);
  }

  @Test
  void gracefulStopFinishesTheRequestInFlight() throws Exception {
    Sinks.Empty<Void> gate = Sinks.empty();
    AtomicInteger received = new AtomicInteger();
    DisposableServer executor = heldExecutor(received, gate.asMono());
    site.attach(NEAR, "x1", Optional.of("http://127.0.0.1:" + executor.port()));
    final CompletableFuture<HttpResponse<String>> inFlight = site.postAsync(NEAR, "twelve drums");
    LoopbackSite.until(() -> received.get() == 1);
    final CompletableFuture<Boolean> stopped = CompletableFuture.supplyAsync(() -> site.stop(NEAR));
    LoopbackSite.until(() -> site.statusOf(NEAR, "/readyz") == 503);
    JsonNode problem = site.read(site.post(NEAR, "too late", ""));
    assertThat(problem.path("execution").asText()).isEqualTo("not-run");
    gate.tryEmitEmpty();
    assertThat(inFlight.join().body()).isEqualTo("twelve drums");
    assertThat(stopped.join()).isTrue();
    assertThat(received.get()).isEqualTo(1);
    executor.disposeNow();
  }

  /** Starts an executor that answers once it is let go. */
  private static DisposableServer heldExecutor(AtomicInteger received, Mono<Void> gate) {
    return HttpServer.create()
        .host("127.0.0.1")
        .port(0)
        .route(
            routes ->
                routes.post(
                    "/v1/requests/{request}/{attempt}",
                    (request, response) -> {
                      received.incrementAndGet();
                      response.header("primrosegauge-request", request.param("request"));
                      response.header("primrosegauge-attempt", request.param("attempt"));
                      Mono<byte[]> body = request.receive().aggregate().asByteArray();
                      return response.sendByteArray(body.delayUntil(bytes -> gate));
                    }))
        .bindNow();
  }
}
