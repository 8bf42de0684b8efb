import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** HTTP/1.1 with bodies of known length, as a client of one call and as a server. */
final class Http {

  /** A request or a response; for a response, method is the status. */
  record Message(String method, String path, Map<String, String> headers, String body) {
    int status() {
      return Integer.parseInt(method);
    }
  }

  interface Handler {
    /** Returns a response; null closes the connection without one. */
    Message handle(Message request) throws Exception;
  }

  private Http() {}

  static Message response(int status, String body) {
    return new Message(Integer.toString(status), "", Map.of(), body);
  }

  /** One call over a new connection, which is closed after the answer or the time-out. */
  static Message call(
      String host, int port, String method, String path, Map<String, String> headers, String body,
      int timeoutMillis)
      throws IOException {
    long end = System.currentTimeMillis() + timeoutMillis;
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(host, port), timeoutMillis);
      socket.setTcpNoDelay(true);
      socket.setSoTimeout((int) Math.max(1, end - System.currentTimeMillis()));
      StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
      byte[] content = body.getBytes(StandardCharsets.UTF_8);
      if (!headers.containsKey("Host")) {
        head.append("Host: ").append(host).append(':').append(port).append("\r\n");
      }
      headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
      head.append("Content-Type: application/json\r\n");
      head.append("Content-Length: ").append(content.length).append("\r\n\r\n");
      OutputStream out = socket.getOutputStream();
      out.write(concat(head.toString().getBytes(StandardCharsets.US_ASCII), content));
      out.flush();
      Message answer = read(new BufferedInputStream(socket.getInputStream()));
      if (answer == null) {
        throw new IOException("connection closed without an answer");
      }
      return new Message(answer.path(), "", answer.headers(), answer.body());
    }
  }

  private static byte[] concat(byte[] first, byte[] second) {
    byte[] all = new byte[first.length + second.length];
    System.arraycopy(first, 0, all, 0, first.length);
    System.arraycopy(second, 0, all, first.length, second.length);
    return all;
  }

  /** Reads a message: method is the first word of the first line, path the second. */
  static Message read(InputStream in) throws IOException {
    String first = line(in);
    if (first == null) {
      return null;
    }
    String[] words = first.split(" ", 3);
    Map<String, String> headers = new LinkedHashMap<>();
    String line;
    while ((line = line(in)) != null && !line.isEmpty()) {
      int colon = line.indexOf(':');
      headers.put(
          line.substring(0, colon).trim().toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
    }
    int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
    String body;
    if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
      ByteArrayOutputStream all = new ByteArrayOutputStream();
      int size;
      while ((size = Integer.parseInt(line(in).trim(), 16)) > 0) {
        all.write(in.readNBytes(size));
        line(in);
      }
      line(in);
      body = all.toString(StandardCharsets.UTF_8);
    } else {
      body = new String(in.readNBytes(length), StandardCharsets.UTF_8);
    }
    return new Message(words[0], words[1], headers, body);
  }

  private static String line(InputStream in) throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    int next;
    while ((next = in.read()) >= 0 && next != '\n') {
      if (next != '\r') {
        out.write(next);
      }
    }
    return next < 0 && out.size() == 0 ? null : out.toString(StandardCharsets.ISO_8859_1);
  }

  /** A server; each connection has a thread. */
  static final class Server {
    private final ServerSocket listener;
    private final Handler handler;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private volatile boolean closed;

    Server(String host, int port, Handler handler) throws IOException {
      this.handler = handler;
      listener = new ServerSocket();
      listener.setReuseAddress(true);
      listener.bind(new InetSocketAddress(host, port), 512);
      Site.thread("accept", this::accept);
    }

    int port() {
      return listener.getLocalPort();
    }

    /** Closes the listener and all connections, as the end of the process would. */
    void close() {
      closed = true;
      try {
        listener.close();
      } catch (IOException e) {
        throw new IllegalStateException(e);
      }
      open.forEach(Site::closeQuietly);
    }

    private void accept() {
      while (!closed) {
        try {
          Socket socket = listener.accept();
          socket.setTcpNoDelay(true);
          open.add(socket);
          Site.thread("serve", () -> serve(socket));
        } catch (IOException e) {
          return;
        }
      }
    }

    private void serve(Socket socket) {
      try {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        Message request;
        while (!closed && (request = read(in)) != null) {
          Message answer = handler.handle(request);
          if (answer == null || closed) {
            break;
          }
          byte[] content = answer.body().getBytes(StandardCharsets.UTF_8);
          String head =
              "HTTP/1.1 " + answer.method() + " x\r\nContent-Type: application/json\r\n"
                  + "Content-Length: " + content.length + "\r\n\r\n";
          OutputStream out = socket.getOutputStream();
          out.write(concat(head.getBytes(StandardCharsets.US_ASCII), content));
          out.flush();
        }
      } catch (Exception e) {
        // The peer has gone, or the server is closed.
      } finally {
        open.remove(socket);
        Site.closeQuietly(socket);
      }
    }
  }
}
