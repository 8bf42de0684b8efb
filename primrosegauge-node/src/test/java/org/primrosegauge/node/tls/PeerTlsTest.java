package org.primrosegauge.node.tls;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.channel.Channel;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.InvalidInputException;
import org.primrosegauge.core.PrimrosegaugeException;
import org.primrosegauge.node.cfg.TlsSettings;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.Connection;
import reactor.netty.DisposableServer;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.server.HttpServer;
import reactor.netty.tcp.TcpClient;
import reactor.netty.tcp.TcpServer;

class PeerTlsTest {

  private static final Path FIXTURES = Path.of("src", "test", "resources", "tls");
  private static final Duration LIMIT = Duration.ofSeconds(20);
  private static final InstanceId WEST = new InstanceId("west-1");
  private static final InstanceId EAST = new InstanceId("east-1");

  @TempDir private Path folder;

  private final BlockingQueue<Channel> accepted = new LinkedBlockingQueue<>();
  private PeerTls east;
  private DisposableServer server;

  @BeforeEach
  void start() throws PrimrosegaugeException {
    east = peer(contexts("east-1-site", "site.pem"), WEST);
    TcpServer plain =
        TcpServer.create()
            .host("127.0.0.1")
            .port(0)
            .handle(
                (in, out) -> {
                  in.withConnection(connection -> accepted.add(connection.channel()));
                  return out.sendString(Mono.just("x")).then(Mono.never());
                });
    server = east.secure(plain).bindNow(LIMIT);
  }

  @AfterEach
  void stop() {
    server.disposeNow(LIMIT);
  }

  @Test
  void bothEndsKnowEachOther() throws Exception {
    PeerTls west = peer(contexts("west-1-site", "site.pem"), EAST);

    Connection connection = connect(west);

    assertThat(west.isSender(connection.channel(), EAST)).isTrue();
    assertThat(west.isSender(connection.channel(), WEST)).isFalse();
    Channel incoming = accepted.poll(LIMIT.toSeconds(), TimeUnit.SECONDS);
    assertThat(east.isSender(incoming, WEST)).isTrue();
    assertThat(east.isSender(incoming, EAST)).isFalse();
    connection.disposeNow(LIMIT);
  }

  @Test
  void certificateOfAnotherAuthorityIsRefused() throws PrimrosegaugeException {
    PeerTls stranger = peer(contexts("west-1-other", "site.pem"), EAST);

    assertThrows(RuntimeException.class, () -> connect(stranger));
    assertThat(accepted.stream().anyMatch(channel -> east.isSender(channel, WEST))).isFalse();
  }

  @Test
  void serverOfAnotherAuthorityIsRefused() throws PrimrosegaugeException {
    PeerTls west = peer(contexts("west-1-site", "other.pem"), EAST);

    assertThrows(RuntimeException.class, () -> connect(west));
  }

  @Test
  void connectionWithoutTlsBelongsToNobody() {
    assertThat(east.isSender(new io.netty.channel.embedded.EmbeddedChannel(), WEST)).isFalse();
  }

  @Test
  void newConnectionsUseNewFiles() throws IOException, PrimrosegaugeException {
    copy("west-1-other");
    TlsContexts contexts =
        TlsContexts.open(settings(folder.resolve("a.pem"), folder.resolve("a.key"), "site.pem"));
    PeerTls west = peer(contexts, EAST);
    assertThrows(RuntimeException.class, () -> connect(west));

    copy("west-1-site");
    assertThat(contexts.files().check()).isTrue();

    connect(west).disposeNow(LIMIT);
  }

  @Test
  void keyOfAnotherCertificateKeepsTheLastFiles() throws IOException, PrimrosegaugeException {
    copy("west-1-site");
    TlsContexts contexts =
        TlsContexts.open(settings(folder.resolve("a.pem"), folder.resolve("a.key"), "site.pem"));
    Files.writeString(folder.resolve("a.key"), "no key");

    InvalidInputException error =
        assertThrows(InvalidInputException.class, () -> contexts.files().check());

    assertThat(error.remedy()).contains("PKCS 8");
    connect(peer(contexts, EAST)).disposeNow(LIMIT);
  }

  @Test
  void callersReachTheHttpServerWithoutCertificate() throws PrimrosegaugeException {
    HttpServer plain =
        HttpServer.create()
            .host("127.0.0.1")
            .port(0)
            .handle((request, response) -> response.sendString(Mono.just("whole")));
    DisposableServer http = contexts("east-1-site", "site.pem").secure(plain).bindNow(LIMIT);
    try {
      HttpClient client = contexts("west-1-site", "site.pem").secure(HttpClient.newConnection());
      String answer =
          client
              .get()
              .uri("https://127.0.0.1:" + http.port() + "/")
              .responseContent()
              .aggregate()
              .asString()
              .block(LIMIT);
      assertThat(answer).isEqualTo("whole");
    } finally {
      http.disposeNow(LIMIT);
    }
  }

  /** Connects and reads one byte: with TLS 1.3 only that proves that the server agreed. */
  private Connection connect(PeerTls peer) {
    TcpClient client = TcpClient.newConnection().host("127.0.0.1").port(server.port());
    Connection connection = peer.secure(client).connectNow(LIMIT);
    Flux<String> received = connection.inbound().receive().asString();
    if (received.next().blockOptional(LIMIT).isEmpty()) {
      throw new IllegalStateException("the server ended the connection");
    }
    return connection;
  }

  private void copy(String name) throws IOException {
    for (String type : new String[] {".pem", ".key"}) {
      Files.copy(
          FIXTURES.resolve(name + type),
          folder.resolve("a" + type),
          StandardCopyOption.REPLACE_EXISTING);
    }
  }

  private static PeerTls peer(TlsContexts contexts, InstanceId other) {
    return new PeerTls(contexts, () -> Set.of(other));
  }

  private static TlsContexts contexts(String name, String trust) throws PrimrosegaugeException {
    return TlsContexts.open(
        settings(FIXTURES.resolve(name + ".pem"), FIXTURES.resolve(name + ".key"), trust));
  }

  private static TlsSettings settings(Path certificate, Path key, String trust) {
    return new TlsSettings(
        true, Optional.of(certificate), Optional.of(key), Optional.of(FIXTURES.resolve(trust)));
  }
}
