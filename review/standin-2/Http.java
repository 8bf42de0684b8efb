package lab;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** HTTP/1.1 calls over plain sockets, one connection a call. */
final class Http {

  private Http() {}

  /** An answer; status 0 stands for none. */
  record Answer(int status, String body) {

    boolean is2xx() {
      return status >= 200 && status < 300;
    }
  }

  static final Answer NONE = new Answer(0, "");

  /** A call whose connection is kept until it is closed. */
  static final class Call implements AutoCloseable {

    private final Socket socket = new Socket();
    private final String address;

    Call(String address) {
      this.address = address;
    }

    void send(String method, String path, String headers, String body, int timeoutMillis)
        throws IOException {
      int colon = address.lastIndexOf(':');
      socket.setTcpNoDelay(true);
      socket.connect(
          new InetSocketAddress(
              address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
          timeoutMillis);
      byte[] content = body.getBytes(StandardCharsets.UTF_8);
      String host = headers.contains("Host:") ? "" : "Host: " + address + "\r\n";
      String type = content.length == 0 ? "" : "Content-Type: application/json\r\n";
      String head =
          method + " " + path + " HTTP/1.1\r\n" + host + headers + type
              + "Content-Length: " + content.length + "\r\n\r\n";
      ByteArrayOutputStream all = new ByteArrayOutputStream();
      all.write(head.getBytes(StandardCharsets.ISO_8859_1));
      all.write(content);
      socket.getOutputStream().write(all.toByteArray());
      socket.getOutputStream().flush();
    }

    Answer await(int timeoutMillis) throws IOException {
      long end = System.nanoTime() + timeoutMillis * 1_000_000L;
      InputStream in = socket.getInputStream();
      String head = "";
      while (!head.endsWith("\r\n\r\n")) {
        head += (char) read(in, end);
      }
      int status = Integer.parseInt(head.split(" ")[1].trim());
      int length = 0;
      for (String line : head.split("\r\n")) {
        if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
          length = Integer.parseInt(line.substring(15).trim());
        }
      }
      ByteArrayOutputStream body = new ByteArrayOutputStream();
      while (body.size() < length) {
        body.write(read(in, end));
      }
      return new Answer(status, body.toString(StandardCharsets.UTF_8));
    }

    private int read(InputStream in, long end) throws IOException {
      long left = (end - System.nanoTime()) / 1_000_000;
      if (left <= 0) {
        throw new SocketTimeoutException("no answer in time");
      }
      socket.setSoTimeout((int) left);
      int next = in.read();
      if (next < 0) {
        throw new IOException("connection ended");
      }
      return next;
    }

    @Override
    public void close() {
      try {
        socket.close();
      } catch (IOException e) {
        // Nothing is left to be done with it.
      }
    }
  }

  /** One call; the connection is closed afterwards, answered or not. */
  static Answer call(
      String address, String method, String path, String headers, String body, int timeoutMillis) {
    try (Call call = new Call(address)) {
      call.send(method, path, headers, body, timeoutMillis);
      return call.await(timeoutMillis);
    } catch (IOException e) {
      return NONE;
    }
  }
}
