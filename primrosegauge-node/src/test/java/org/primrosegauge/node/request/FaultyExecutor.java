package org.primrosegauge.node.request;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.concurrent.atomic.AtomicInteger;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** An executor that answers as it was told, rightly or wrongly. */
final class FaultyExecutor implements AutoCloseable {

  private static final int TOO_LONG_BYTES = 5_000;

  private final AtomicInteger received = new AtomicInteger();
  private final DisposableServer server;
  private volatile String behaviour = "good";

  FaultyExecutor() {
    server =
        HttpServer.create()
            .host("127.0.0.1")
            .port(0)
            .route(routes -> routes.post("/v1/requests/{request}/{attempt}", this::answer))
            .bindNow();
  }

  void behave(String value) {
    behaviour = value;
  }

  int received() {
    return received.get();
  }

  String address() {
    return "http://127.0.0.1:" + server.port();
  }

  @Override
  public void close() {
    server.disposeNow();
  }

  private Publisher<Void> answer(HttpServerRequest request, HttpServerResponse response) {
    received.incrementAndGet();
    String wrong = "x1";
    boolean otherRequest = behaviour.equals("wrong-request");
    boolean otherAttempt = behaviour.equals("wrong-attempt");
    response.header("primrosegauge-request", otherRequest ? wrong : request.param("request"));
    response.header("primrosegauge-attempt", otherAttempt ? wrong : request.param("attempt"));
    Mono<byte[]> body = request.receive().aggregate().asByteArray();
    return switch (behaviour) {
      case "error" -> response.status(500).send();
      case "silent" -> Mono.never();
      case "close" -> body.doOnNext(bytes -> abort(response)).then();
      case "too-long" -> response.sendByteArray(Flux.just(new byte[TOO_LONG_BYTES]));
      case "cut" -> response.header("content-length", "100").send(cutBody());
      case "no-length" ->
          response
              .chunkedTransfer(false)
              .keepAlive(false)
              .sendByteArray(body.flux().concatWith(Flux.empty()));
      default -> response.sendByteArray(body);
    };
  }

  /** The server closes the connection when the body ends with an error. */
  private static Flux<ByteBuf> cutBody() {
    return Flux.concat(
        Mono.just(Unpooled.wrappedBuffer(new byte[10])),
        Mono.error(new IllegalStateException("cut on purpose")));
  }

  private static void abort(HttpServerResponse response) {
    response.withConnection(connection -> connection.channel().close());
  }
}
