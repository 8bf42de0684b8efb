package org.primrosegauge.bench.fault;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.time.Duration;
import org.primrosegauge.bench.fault.HistoryEvent.Kind;

/**
 * Asks instances over HTTP and records each question with its answer, or that there was none.
 *
 * <p>Thread-safe.
 *
 * @since 0.1
 */
final class FaultClient {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final Duration TIMEOUT = Duration.ofSeconds(8);
  private static final int ABRIDGED = 60;

  private final HttpClient http =
      HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(1)).build();
  private final FaultSite site;
  private final HistoryWriter history;

  FaultClient(FaultSite site, HistoryWriter history) {
    this.site = site;
    this.history = history;
  }

  HistoryEvent submit(String instance, String job, int tasks, boolean repeatable, int millis) {
    String body =
        JSON.createObjectNode()
            .put("id", job)
            .put("customer", "depot")
            .put("tasks", tasks)
            .put("milliCores", 1000)
            .put("memoryMib", 64)
            .put("accelerators", 1)
            .put("repeatable", repeatable)
            .put("command", "run " + millis)
            .toString();
    HttpRequest.Builder request =
        to(instance, "/v1/jobs")
            .header("Content-Type", "application/json")
            .POST(BodyPublishers.ofString(body));
    return send(Kind.SUBMIT, job, instance, request, tasks + " " + repeatable);
  }

  HistoryEvent show(String instance, String job) {
    return send(Kind.SHOW, job, instance, to(instance, "/v1/jobs/" + job).GET(), "");
  }

  HistoryEvent status(String instance) {
    return send(Kind.STATUS, instance, instance, to(instance, "/v1/status").GET(), "");
  }

  HistoryEvent configure(String instance, long expected, String requestId, String content) {
    HttpRequest.Builder request =
        to(instance, "/v1/configuration?waitMillis=6000")
            .header("Primrosegauge-Request-Id", requestId)
            .header("Primrosegauge-Expected-Revision", Long.toString(expected))
            .PUT(BodyPublishers.ofString(content));
    return send(
        Kind.CONFIGURE, requestId, instance, request, Integer.toHexString(content.hashCode()));
  }

  HistoryEvent switchDomain(String instance, String domain, boolean out) {
    String body = "{\"out\":" + out + ",\"work\":\"FINISH\"}";
    HttpRequest.Builder request =
        to(instance, "/v1/domains/" + domain + "?waitMillis=5000")
            .header("Content-Type", "application/json")
            .PUT(BodyPublishers.ofString(body));
    return send(out ? Kind.OUT : Kind.IN, domain, instance, request, "");
  }

  private HttpRequest.Builder to(String instance, String path) {
    return HttpRequest.newBuilder(URI.create(site.http(instance) + path)).timeout(TIMEOUT);
  }

  private HistoryEvent send(
      Kind kind, String subject, String instance, HttpRequest.Builder request, String content) {
    long sent = System.currentTimeMillis();
    int status = 0;
    String state = "";
    long revision = -1;
    try {
      HttpResponse<String> answer =
          http.send(request.build(), HttpResponse.BodyHandlers.ofString());
      status = answer.statusCode();
      JsonNode body = JSON.readTree(answer.body());
      state = status < 300 ? stateOf(body) : abridged(answer.body());
      revision = body.path("revision").asLong(body.path("inForce").asLong(-1));
    } catch (IOException e) {
      state = abridged(e.toString());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    HistoryEvent event =
        new HistoryEvent(
            sent,
            System.currentTimeMillis(),
            kind,
            subject,
            instance,
            status,
            state,
            revision,
            content);
    history.write(event);
    return event;
  }

  private static String stateOf(JsonNode body) {
    return body.has("phase") ? body.path("phase").asText() : body.path("state").asText("");
  }

  private static String abridged(String text) {
    return text.length() <= ABRIDGED * 3 ? text : text.substring(0, ABRIDGED * 3);
  }
}
