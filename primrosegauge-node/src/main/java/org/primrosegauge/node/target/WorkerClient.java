package org.primrosegauge.node.target;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.time.Duration;
import org.primrosegauge.core.ErrorKind;
import org.primrosegauge.core.PrimrosegaugeException;
import org.primrosegauge.core.TaskId;
import org.primrosegauge.wire.WireMappers;
import org.primrosegauge.wire.target.TaskCommand;
import org.primrosegauge.wire.target.TaskCommandReply;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;

/**
 * Sends commands to workers over HTTP.
 *
 * <p>Thread-safe. Nothing is sent again here: the scheduler decides what silence means.
 *
 * @since 0.1
 */
public final class WorkerClient implements AutoCloseable {

  private static final ObjectMapper JSON = WireMappers.json();
  private static final int CONNECTIONS_PER_WORKER = 2;
  private static final int MAX_WAITING_PER_WORKER = 512;
  private static final Duration IDLE_TIME = Duration.ofSeconds(30);
  private static final int OK = 200;

  private final ConnectionProvider connections =
      ConnectionProvider.builder("workers")
          .maxConnections(CONNECTIONS_PER_WORKER)
          .pendingAcquireMaxCount(MAX_WAITING_PER_WORKER)
          .maxIdleTime(IDLE_TIME)
          .build();
  private final HttpClient http;

  /**
   * Creates a client.
   *
   * @param timeout longest wait for a worker's answer
   * @since 0.1
   */
  public WorkerClient(Duration timeout) {
    this.http =
        HttpClient.create(connections)
            .responseTimeout(timeout)
            .headers(headers -> headers.set(HttpHeaderNames.CONTENT_TYPE, "application/json"));
  }

  /**
   * Sends one command.
   *
   * @param address base address of the worker
   * @return the worker's answer; an error says nothing about whether the command arrived
   * @since 0.1
   */
  public Mono<TaskCommandReply> send(String address, TaskId task, TaskCommand command) {
    String uri = address + "/v1/tasks/" + task.job() + "/" + task.attempt() + "/" + task.index();
    return Mono.fromCallable(() -> JSON.writeValueAsBytes(command))
        .flatMap(
            body ->
                http.post()
                    .uri(uri)
                    .send(ByteBufFlux.fromInbound(Flux.just(body)))
                    .responseSingle(
                        (response, content) ->
                            content
                                .asByteArray()
                                .flatMap(bytes -> read(response.status().code(), uri, bytes))));
  }

  @Override
  public void close() {
    connections.dispose();
  }

  private static Mono<TaskCommandReply> read(int status, String uri, byte[] bytes) {
    if (status != OK) {
      return Mono.error(
          new PrimrosegaugeException(
              ErrorKind.TARGET_FAILED,
              "the worker answered with status " + status,
              "check the worker's log",
              uri));
    }
    return Mono.fromCallable(() -> JSON.readValue(bytes, TaskCommandReply.class));
  }
}
