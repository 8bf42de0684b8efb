package org.primrosegauge.standin;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import org.primrosegauge.core.JobId;
import org.primrosegauge.core.TargetId;
import org.primrosegauge.core.TaskId;
import org.primrosegauge.wire.WireMappers;
import org.primrosegauge.wire.target.AnnouncementReply;
import org.primrosegauge.wire.target.TaskCommand;
import org.primrosegauge.wire.target.WorkerAnnouncement;
import org.primrosegauge.wire.target.WorkerRenewal;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.http.server.HttpServerRoutes;

/**
 * Serves any number of stand-ins on one port and announces them.
 *
 * <p>Thread-safe. Life-cycle: {@link #start}, add stand-ins, {@link #close}.
 *
 * @since 0.1
 */
public final class TargetHost implements AutoCloseable {

  private static final ObjectMapper JSON = WireMappers.json();

  private final List<String> instances;
  private final Duration announceInterval;
  private final Duration serviceTime;
  private final Map<TargetId, WorkerStandin> workers = new ConcurrentHashMap<>();
  private final Map<TargetId, ExecutorStandin> executors = new ConcurrentHashMap<>();
  private final Disposable.Composite loops = Disposables.composite();
  private volatile CommandFilter filter = (task, command) -> true;
  private DisposableServer server;

  /**
   * Says which commands reach their worker. One that does not is neither carried out nor answered,
   * as if the connection had gone silent.
   *
   * @since 0.3
   */
  @FunctionalInterface
  public interface CommandFilter {

    /**
     * Returns whether a command reaches its worker; called on event loops.
     *
     * @since 0.3
     */
    boolean passes(TaskId task, TaskCommand command);
  }

  /**
   * Creates a host.
   *
   * @param instances base addresses of instances, tried in turn
   * @param announceInterval time between two announcements of one stand-in
   * @param serviceTime time that executors take for a request
   * @since 0.1
   */
  public TargetHost(List<String> instances, Duration announceInterval, Duration serviceTime) {
    this.instances = List.copyOf(instances);
    this.announceInterval = announceInterval;
    this.serviceTime = serviceTime;
  }

  // Life-cycle

  /**
   * Binds the port; 0 takes any free one.
   *
   * @since 0.1
   */
  public void start(String host, int port) {
    server = HttpServer.create().host(host).port(port).route(this::routes).bindNow();
    loops.add(
        Flux.interval(WorkerStandin.ADVANCE_INTERVAL)
            .onBackpressureDrop()
            .subscribe(i -> workers.values().forEach(w -> w.advance(nowMillis()))));
  }

  @Override
  public void close() {
    loops.dispose();
    server.disposeNow();
  }

  // Accessors

  /**
   * Returns the base address for the stand-in of an id.
   *
   * @since 0.1
   */
  public String addressOf(TargetId id) {
    return "http://" + server.host() + ":" + server.port() + "/" + id;
  }

  // Main API

  /**
   * Adds a worker and announces it from now on.
   *
   * @since 0.1
   */
  public void add(WorkerStandin worker) {
    workers.put(worker.id(), worker);
    String path = "/v1/targets/workers/" + worker.id();
    announceForever(
        false,
        () -> workerMessage(path, worker),
        (reply, message) -> worker.acknowledged(reply, message.sentMillis(), message.version()));
  }

  /**
   * Adds an executor and announces it from now on.
   *
   * @since 0.1
   */
  public void add(ExecutorStandin executor) {
    executors.put(executor.id(), executor);
    String path = "/v1/targets/executors/" + executor.id();
    announceForever(
        true,
        () -> new Message(path, executor.announcement(), 0, nowMillis()),
        (reply, message) -> {});
  }

  /**
   * Filters the commands to all workers from now on.
   *
   * @since 0.3
   */
  public void filter(CommandFilter commands) {
    filter = commands;
  }

  // Internals

  /** One announcement or renewal on its way. */
  private record Message(String path, Object body, long version, long sentMillis) {}

  private static Message workerMessage(String path, WorkerStandin worker) {
    long now = nowMillis();
    OptionalLong unchanged = worker.unchangedVersion(now);
    if (unchanged.isPresent()) {
      long version = unchanged.getAsLong();
      return new Message(path + "/renewal", new WorkerRenewal(version), version, now);
    }
    WorkerAnnouncement full = worker.announcement(now);
    return new Message(path, full, full.version(), now);
  }

  private void announceForever(
      boolean keepsLease, Supplier<Message> next, BiConsumer<AnnouncementReply, Message> onReply) {
    StandinClient client =
        new StandinClient(instances, workers.size() + executors.size(), keepsLease);
    loops.add(
        Mono.defer(
                () -> {
                  Message message = next.get();
                  return client
                      .announce(message.path(), message.body())
                      .doOnNext(reply -> onReply.accept(reply, message));
                })
            .then(Mono.delay(announceInterval))
            .repeat()
            .subscribe());
  }

  private void routes(HttpServerRoutes routes) {
    routes
        .post("/{id}/v1/tasks/{job}/{attempt}/{index}", this::task)
        .post("/{id}/v1/requests/{request}/{attempt}", this::request)
        .post("/{id}/standin/fail/{flag}", this::failSwitch);
  }

  private Mono<Void> task(HttpServerRequest request, HttpServerResponse response) {
    WorkerStandin worker = workers.get(new TargetId(request.param("id")));
    if (worker == null) {
      return response.sendNotFound();
    }
    TaskId task =
        new TaskId(
            new JobId(request.param("job")),
            Integer.parseInt(request.param("attempt")),
            Integer.parseInt(request.param("index")));
    Mono<byte[]> reply =
        request.receive().aggregate().asByteArray().flatMap(body -> execute(worker, task, body));
    return response.header("content-type", "application/json").sendByteArray(reply).then();
  }

  private Mono<byte[]> execute(WorkerStandin worker, TaskId task, byte[] body) {
    try {
      TaskCommand command = JSON.readValue(body, TaskCommand.class);
      if (!filter.passes(task, command)) {
        return Mono.never();
      }
      return Mono.just(JSON.writeValueAsBytes(worker.execute(task, command, nowMillis())));
    } catch (IOException e) {
      return Mono.error(e);
    }
  }

  private Mono<Void> request(HttpServerRequest request, HttpServerResponse response) {
    ExecutorStandin executor = executors.get(new TargetId(request.param("id")));
    if (executor == null) {
      return response.sendNotFound();
    }
    response.header("primrosegauge-request", request.param("request"));
    response.header("primrosegauge-attempt", request.param("attempt"));
    if (!executor.begin()) {
      return response.status(503).header("primrosegauge-execution", "not-run").send();
    }
    if (executor.isFailing()) {
      executor.end();
      return response.status(500).send();
    }
    Mono<byte[]> answer =
        request
            .receive()
            .aggregate()
            .asByteArray()
            .defaultIfEmpty(new byte[0])
            .delayElement(serviceTime)
            .doFinally(signal -> executor.end());
    return response.sendByteArray(answer).then();
  }

  private Mono<Void> failSwitch(HttpServerRequest request, HttpServerResponse response) {
    ExecutorStandin executor = executors.get(new TargetId(request.param("id")));
    if (executor == null) {
      return response.sendNotFound();
    }
    executor.fail(Boolean.parseBoolean(request.param("flag")));
    return response.send();
  }

  private static long nowMillis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }
}
