package org.primrosegauge.node.http;

import static com.google.common.truth.Truth.assertThat;

import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.primrosegauge.core.security.Authenticator;
import org.primrosegauge.core.security.Caller;
import org.primrosegauge.core.security.Scope;
import org.primrosegauge.core.security.TokenDigest;
import org.primrosegauge.core.security.TokenTable;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.server.HttpServer;

/** Who gets past the server to a handler; the handlers check the customer themselves. */
class HttpApiAccessTest {

  private static final Duration LIMIT = Duration.ofSeconds(20);

  private final HttpApi api = new HttpApi();

  @BeforeEach
  void start() {
    TokenTable tokens =
        new TokenTable(
            Stream.of("operator", "customer:dealers", "target", "peer")
                .map(HttpApiAccessTest::grant)
                .toList());
    HttpApi.Handler whole = exchange -> exchange.sendText(200, "text/plain", "whole");
    for (String path : List.of("/metrics", "/v1/jobs", "/v1/domains", "/v1/new")) {
      api.route(HttpApi.Method.GET, path, whole);
    }
    api.route(HttpApi.Method.PUT, "/v1/configuration", whole)
        .route(HttpApi.Method.PUT, "/v1/domains/{id}", whole)
        .route(HttpApi.Method.POST, "/v1/targets/workers/{id}", whole)
        .route(HttpApi.Method.POST, "/v1/services/{id}/requests", whole)
        .authenticator(header -> Authenticator.authenticate(tokens, header))
        .start(HttpServer.create(), "127.0.0.1", 0);
  }

  @AfterEach
  void stop() {
    api.close();
  }

  @ParameterizedTest
  @CsvSource({
    "GET,  /metrics,                 200, 200, 200, 200, 200",
    "GET,  /v1/jobs,                 401, 200, 200, 200, 200",
    "POST, /v1/services/s/requests,  401, 200, 200, 200, 200",
    "GET,  /v1/domains,              401, 200, 403, 403, 403",
    "PUT,  /v1/domains/klang,        401, 200, 403, 403, 403",
    "PUT,  /v1/configuration,        401, 200, 403, 403, 403",
    "GET,  /v1/new,                  401, 200, 403, 403, 403",
    "POST, /v1/targets/workers/w1,   401, 403, 403, 200, 403"
  })
  void admitsByScope(
      String method, String path, int none, int operator, int customer, int target, int peer) {
    assertThat(status(method, path, "")).isEqualTo(none);
    assertThat(status(method, path, "Bearer operator")).isEqualTo(operator);
    assertThat(status(method, path, "Bearer customer:dealers")).isEqualTo(customer);
    assertThat(status(method, path, "Bearer target")).isEqualTo(target);
    assertThat(status(method, path, "Bearer peer")).isEqualTo(peer);
  }

  private int status(String method, String path, String authorization) {
    return HttpClient.newConnection()
        .headers(headers -> headers.set("Authorization", authorization))
        .request(HttpMethod.valueOf(method))
        .uri("http://127.0.0.1:" + api.port() + path)
        .response()
        .map(response -> response.status().code())
        .block(LIMIT);
  }

  private static TokenTable.Grant grant(String scope) {
    Caller caller = new Caller("test", Set.of(Scope.parse(scope).orElseThrow()));
    return new TokenTable.Grant(TokenDigest.ofToken(scope), caller);
  }
}
