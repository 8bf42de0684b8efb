package org.primrosegauge.bench.footprint;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Reads what one running instance takes: the kernel's figures of its process, and the counters that
 * it publishes itself.
 *
 * @param pid id of the process
 * @param address base address of its HTTP interface
 */
record ProcessProbe(long pid, String address) {

  private static final HttpClient HTTP = HttpClient.newHttpClient();
  private static final String RESIDENT = "VmRSS:";
  private static final String SENT = "primrosegauge_transport_sent_bytes";
  private static final String RECEIVED = "primrosegauge_transport_received_bytes";
  private static final double KIB_PER_MB = 1_000_000 / 1_024.0;
  // Fields of /proc/PID/stat after the name in parentheses, counted from 0.
  private static final int USER_TICKS = 11;
  private static final int SYSTEM_TICKS = 12;
  // Linux reports processor time to programs in units of 10 ms on every architecture.
  private static final long NANOS_PER_TICK = 10_000_000;

  /** Figures at one moment. */
  record Sample(long nanos, double residentMb, long cpuNanos, double bytes) {}

  /** Reads "PID@ADDRESS". */
  static ProcessProbe parse(String text) {
    int at = text.indexOf('@');
    return new ProcessProbe(Long.parseLong(text.substring(0, at)), text.substring(at + 1));
  }

  Sample sample() throws IOException, InterruptedException {
    String metrics = metrics();
    double bytes = metric(metrics, SENT) + metric(metrics, RECEIVED);
    return new Sample(System.nanoTime(), residentMb(), cpuNanos(), bytes);
  }

  private double residentMb() throws IOException {
    for (String line : Files.readAllLines(Path.of("/proc/" + pid + "/status"))) {
      if (line.startsWith(RESIDENT)) {
        return Long.parseLong(line.replaceAll("\\D", "")) / KIB_PER_MB;
      }
    }
    throw new IOException("no " + RESIDENT + " of process " + pid);
  }

  private long cpuNanos() throws IOException {
    String stat = Files.readString(Path.of("/proc/" + pid + "/stat"));
    String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
    long ticks = Long.parseLong(fields[USER_TICKS]) + Long.parseLong(fields[SYSTEM_TICKS]);
    return ticks * NANOS_PER_TICK;
  }

  private String metrics() throws IOException, InterruptedException {
    HttpRequest request = HttpRequest.newBuilder(URI.create(address + "/metrics")).build();
    return HTTP.send(request, HttpResponse.BodyHandlers.ofString()).body();
  }

  private static double metric(String text, String name) throws IOException {
    for (String line : text.split("\n")) {
      if (line.startsWith(name + " ")) {
        return Double.parseDouble(line.substring(name.length() + 1));
      }
    }
    throw new IOException("no metric " + name);
  }
}
