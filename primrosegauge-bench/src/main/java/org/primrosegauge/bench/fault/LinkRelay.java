package org.primrosegauge.bench.fault;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * Forwards TCP connections between instances and closes those of a failure domain that is cut off.
 *
 * <p>Thread-safe: each connection has two daemon threads.
 *
 * @since 0.1
 */
public final class LinkRelay {

  private static final int BACKLOG = 50;
  private static final int BUFFER_BYTES = 16 * 1024;

  private record Link(String from, String to, Socket near, Socket far) {}

  private final FaultSite site;
  private final Set<String> cut = ConcurrentHashMap.newKeySet();
  private final Set<Link> links = ConcurrentHashMap.newKeySet();
  private final ExecutorService threads =
      Executors.newCachedThreadPool(
          task -> {
            Thread thread = new Thread(task, "relay");
            thread.setDaemon(true);
            return thread;
          });

  /**
   * Creates a relay that does not listen yet.
   *
   * @since 0.1
   */
  public LinkRelay(FaultSite site) {
    this.site = site;
  }

  /**
   * Listens on the relay port of each pair of instances.
   *
   * @since 0.1
   */
  public void start() throws IOException {
    for (String from : FaultSite.INSTANCES) {
      for (String to : FaultSite.INSTANCES) {
        if (!from.equals(to)) {
          ServerSocket server =
              new ServerSocket(site.relayPort(from, to), BACKLOG, InetAddress.getLoopbackAddress());
          threads.execute(() -> accept(server, from, to));
        }
      }
    }
  }

  /**
   * Closes all links between a failure domain and the others.
   *
   * @since 0.1
   */
  public void cut(String domain) {
    cut.add(domain);
    links.stream().filter(link -> isCut(link.from(), link.to())).forEach(LinkRelay::close);
  }

  /**
   * Lets links open again.
   *
   * @since 0.1
   */
  public void heal(String domain) {
    cut.remove(domain);
  }

  private boolean isCut(String from, String to) {
    String one = FaultSite.domainOf(from);
    String other = FaultSite.domainOf(to);
    return !one.equals(other) && (cut.contains(one) || cut.contains(other));
  }

  private void accept(ServerSocket server, String from, String to) {
    while (true) {
      try {
        open(server.accept(), from, to);
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }
  }

  private void open(Socket near, String from, String to) throws IOException {
    try {
      if (isCut(from, to)) {
        near.close();
        return;
      }
      Socket far = new Socket(InetAddress.getLoopbackAddress(), site.peerPort(to));
      near.setTcpNoDelay(true);
      far.setTcpNoDelay(true);
      Link link = new Link(from, to, near, far);
      links.add(link);
      threads.execute(() -> copy(link, near, far));
      threads.execute(() -> copy(link, far, near));
    } catch (IOException e) {
      near.close();
    }
  }

  private void copy(Link link, Socket source, Socket sink) {
    byte[] buffer = new byte[BUFFER_BYTES];
    try {
      InputStream in = source.getInputStream();
      OutputStream out = sink.getOutputStream();
      for (int read = in.read(buffer); read >= 0 && !isCut(link.from(), link.to()); ) {
        out.write(buffer, 0, read);
        read = in.read(buffer);
      }
    } catch (IOException e) {
      // The connection broke; both ends are told below.
    }
    links.remove(link);
    close(link);
  }

  private static void close(Link link) {
    try {
      link.near().close();
      link.far().close();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
