package org.primrosegauge.node.http;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.primrosegauge.core.ErrorKind;
import org.primrosegauge.core.PrimrosegaugeException;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.server.HttpServer;

/** What an error answer says of whether the operation was carried out. */
class HttpApiErrorTest {

  private static final Duration LIMIT = Duration.ofSeconds(20);

  private final HttpApi api = new HttpApi();
  private volatile ErrorKind kind;

  @BeforeEach
  void start() {
    api.route(
            HttpApi.Method.GET,
            "/failing",
            exchange -> {
              throw new PrimrosegaugeException(kind, "summary", "remedy", "");
            })
        .start(HttpServer.create(), "127.0.0.1", 0);
  }

  @AfterEach
  void stop() {
    api.close();
  }

  @ParameterizedTest
  @CsvSource({
    "OUTCOME_UNKNOWN, unknown",
    "TARGET_FAILED, unknown",
    "INTERNAL, unknown",
    "UNAVAILABLE, not-run",
    "OVER_LIMIT, not-run",
    "INVALID_INPUT, not-run"
  })
  void saysNotRunOnlyWhereThatIsKnown(ErrorKind failure, String execution) {
    kind = failure;
    String body =
        HttpClient.create()
            .get()
            .uri("http://127.0.0.1:" + api.port() + "/failing")
            .responseContent()
            .aggregate()
            .asString()
            .block(LIMIT);
    assertThat(body).contains("\"execution\":\"" + execution + "\"");
  }
}
