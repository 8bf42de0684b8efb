package org.primrosegauge.cli;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;

/** Plays back answers and keeps the requests that it received. */
final class FakeInstance implements AutoCloseable {

  private final HttpServer server;
  private final Queue<Answer> answers = new ArrayDeque<>();
  private final List<String> requests = new ArrayList<>();

  private record Answer(int status, String retryAfter, String body) {}

  FakeInstance() throws IOException {
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    server.createContext(
        "/",
        exchange -> {
          String body =
              new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
          var headers = exchange.getRequestHeaders();
          requests.add(
              String.join(
                  " ",
                  exchange.getRequestMethod(),
                  exchange.getRequestURI().toString(),
                  "token=" + headers.getFirst("Authorization"),
                  "expected=" + headers.getFirst("Primrosegauge-Expected-Revision"),
                  "key=" + headers.getFirst("Idempotency-Key"),
                  body));
          Answer answer = answers.remove();
          if (!answer.retryAfter().isEmpty()) {
            exchange.getResponseHeaders().set("Retry-After", answer.retryAfter());
          }
          byte[] bytes = answer.body().getBytes(StandardCharsets.UTF_8);
          exchange.sendResponseHeaders(answer.status(), bytes.length == 0 ? -1 : bytes.length);
          exchange.getResponseBody().write(bytes);
          exchange.close();
        });
    server.start();
  }

  FakeInstance answer(String body) {
    return answer(200, "", body);
  }

  FakeInstance answer(int status, String retryAfter, String body) {
    answers.add(new Answer(status, retryAfter, body.replace('\'', '"')));
    return this;
  }

  String endpoint() {
    return "http://127.0.0.1:" + server.getAddress().getPort();
  }

  List<String> requests() {
    return requests;
  }

  @Override
  public void close() {
    server.stop(0);
  }
}
