package org.primrosegauge.standin;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.primrosegauge.wire.WireMappers;
import org.primrosegauge.wire.target.AnnouncementReply;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.http.client.HttpClient;

/**
 * Announces a stand-in to instances. When one does not answer, the next in the list is tried; an
 * executor waits until its lease at the first one has ended, so that two never send to it.
 *
 * <p>Used by one announcement loop at a time.
 */
final class StandinClient {

  private static final ObjectMapper JSON = WireMappers.json();
  private static final Duration TIMEOUT = Duration.ofSeconds(1);

  private final HttpClient http = HttpClient.create().responseTimeout(TIMEOUT);
  private final List<String> instances;
  private int next;
  private final boolean keepsLease;
  private String current;
  private long leaseEndNanos = System.nanoTime();

  StandinClient(List<String> instances, int first, boolean keepsLease) {
    this.keepsLease = keepsLease;
    this.instances = List.copyOf(instances);
    this.next = first % instances.size();
    this.current = this.instances.get(this.next);
  }

  /** Sends one announcement and follows the address that the reply names. */
  Mono<AnnouncementReply> announce(String path, Object announcement) {
    return Mono.fromCallable(() -> JSON.writeValueAsBytes(announcement))
        .flatMap(body -> post(current + path, body))
        .doOnNext(this::follow)
        .doOnError(error -> advance())
        .onErrorResume(error -> Mono.empty());
  }

  private Mono<AnnouncementReply> post(String uri, byte[] body) {
    return http.headers(headers -> headers.set(HttpHeaderNames.CONTENT_TYPE, "application/json"))
        .post()
        .uri(uri)
        .send(ByteBufFlux.fromInbound(Flux.just(body)))
        .responseSingle(
            (response, content) ->
                content
                    .asByteArray()
                    .flatMap(
                        bytes ->
                            response.status().code() == 200
                                ? Mono.fromCallable(
                                    () -> JSON.readValue(bytes, AnnouncementReply.class))
                                : Mono.error(
                                    new IllegalStateException("status " + response.status()))));
  }

  private void follow(AnnouncementReply reply) {
    leaseEndNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(reply.leaseMillis());
    if (reply.announceTo() != null) {
      current = reply.announceTo();
    }
  }

  private void advance() {
    if (keepsLease && System.nanoTime() - leaseEndNanos < 0) {
      return;
    }
    next = (next + 1) % instances.size();
    current = instances.get(next);
  }
}
