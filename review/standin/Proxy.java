import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * TCP relay in front of an address. While it is cut, connections hang and bytes are lost; those
 * connections are closed when it is joined again.
 */
final class Proxy {

  private final ServerSocket listener = new ServerSocket();
  private final InetSocketAddress target;
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();
  private final Set<Socket> held = ConcurrentHashMap.newKeySet();
  private volatile boolean cut;

  Proxy(String host, int port, String targetHost, int targetPort) throws IOException {
    target = new InetSocketAddress(targetHost, targetPort);
    listener.setReuseAddress(true);
    listener.bind(new InetSocketAddress(host, port), 512);
    Site.thread("proxy", this::accept);
  }

  int port() {
    return listener.getLocalPort();
  }

  void cut() {
    cut = true;
    held.addAll(open);
  }

  void join() {
    cut = false;
    held.forEach(Site::closeQuietly);
    held.clear();
  }

  private void accept() {
    while (true) {
      try {
        Socket near = listener.accept();
        near.setTcpNoDelay(true);
        if (cut) {
          held.add(near);
          continue;
        }
        Site.thread("relay", () -> relay(near));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void relay(Socket near) {
    Socket far = new Socket();
    try {
      far.connect(target, 1_000);
      far.setTcpNoDelay(true);
      open.add(near);
      open.add(far);
      Site.thread("back", () -> pump(far, near));
      pump(near, far);
    } catch (IOException e) {
      Site.closeQuietly(near);
      Site.closeQuietly(far);
    }
  }

  private void pump(Socket from, Socket to) {
    byte[] buffer = new byte[64 * 1024];
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      int count;
      while ((count = in.read(buffer)) > 0) {
        if (held.contains(from) || held.contains(to)) {
          continue;
        }
        out.write(buffer, 0, count);
        out.flush();
      }
    } catch (IOException e) {
      // One side has gone.
    }
    if (!held.contains(from) && !held.contains(to)) {
      Site.closeQuietly(from);
      Site.closeQuietly(to);
    }
    open.remove(from);
    open.remove(to);
  }
}
