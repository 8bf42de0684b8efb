import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Sends one HTTP/1.1 request over a connection of its own. Stateless. */
final class Http {

  /** Status of a call without a complete response. */
  static final int NO_ANSWER = 0;

  /** Response; {@code status} is {@link #NO_ANSWER} if there was none in time. */
  record Response(int status, String body) {}

  private Http() {}

  /** Sends a request and waits for the response; closes the connection in any case. */
  static Response call(
      String address, String method, String path, Map<String, String> headers, String body,
      int timeoutMillis) {
    int colon = address.lastIndexOf(':');
    InetSocketAddress target =
        new InetSocketAddress(
            address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    long endNanos = System.nanoTime() + timeoutMillis * 1_000_000L;
    try (Socket socket = new Socket()) {
      socket.setTcpNoDelay(true);
      socket.connect(target, timeoutMillis);
      byte[] content = body == null ? new byte[0] : body.getBytes(StandardCharsets.UTF_8);
      Map<String, String> all = new LinkedHashMap<>();
      all.put("Host", address);
      all.putAll(headers);
      all.put("Content-Length", Integer.toString(content.length));
      StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
      all.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
      head.append("\r\n");
      ByteArrayOutputStream out = new ByteArrayOutputStream();
      out.writeBytes(head.toString().getBytes(StandardCharsets.US_ASCII));
      out.writeBytes(content);
      socket.getOutputStream().write(out.toByteArray());
      return read(socket, endNanos);
    } catch (IOException | RuntimeException e) {
      return new Response(NO_ANSWER, e.toString());
    }
  }

  private static Response read(Socket socket, long endNanos) throws IOException {
    InputStream in = socket.getInputStream();
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    byte[] buffer = new byte[8_192];
    while (true) {
      long left = (endNanos - System.nanoTime()) / 1_000_000;
      if (left <= 0) {
        return new Response(NO_ANSWER, "timeout");
      }
      socket.setSoTimeout((int) left);
      int count = in.read(buffer);
      if (count < 0) {
        return new Response(NO_ANSWER, "connection closed");
      }
      bytes.write(buffer, 0, count);
      String text = bytes.toString(StandardCharsets.UTF_8);
      int end = text.indexOf("\r\n\r\n");
      if (end < 0) {
        continue;
      }
      int length = 0;
      for (String line : text.substring(0, end).split("\r\n")) {
        if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
          length = Integer.parseInt(line.substring(line.indexOf(':') + 1).trim());
        }
      }
      String content = text.substring(end + 4);
      if (content.getBytes(StandardCharsets.UTF_8).length >= length) {
        return new Response(Integer.parseInt(text.split(" ", 3)[1]), content);
      }
    }
  }
}
