package org.primrosegauge.node.scope;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.DataOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.primrosegauge.core.CustomerId;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.HostPort;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.Revision;
import org.primrosegauge.core.ServiceId;
import org.primrosegauge.core.TargetId;
import org.primrosegauge.core.job.Resources;
import org.primrosegauge.core.log.LogMessage;
import org.primrosegauge.core.scope.CustomerSpec;
import org.primrosegauge.core.scope.QueueName;
import org.primrosegauge.core.scope.QueueSpec;
import org.primrosegauge.core.scope.Recurrence;
import org.primrosegauge.core.scope.ScopeConfiguration;
import org.primrosegauge.core.scope.StepSpec;
import org.primrosegauge.core.scope.WorkerHeartbeat;
import org.primrosegauge.core.scope.WorkerInfo;
import org.primrosegauge.core.scope.WorkerKey;
import org.primrosegauge.core.scope.cfg.ScopeSettings;
import org.primrosegauge.node.FreePort;
import org.primrosegauge.node.duty.MonotonicClock;
import org.primrosegauge.node.scope.cfg.ScopeNodeSettings;
import org.primrosegauge.wire.Frame;
import org.primrosegauge.wire.FrameCodec;
import org.primrosegauge.wire.MessageTypes;

/** A leading instance that receives truncated and corrupted frames. */
class MalformedFramesTest {

  private static final long SEED = 20_261_204;
  private static final int FRAMES = 2_000;
  private static final int MAX_ATTEMPTS = 200;
  private static final int READ_TIMEOUT_MILLIS = 30_000;
  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(2);
  private static final InstanceId SELF = new InstanceId("127.0.0.6");
  private static final InstanceId SENDER = new InstanceId("127.0.0.7");
  private static final FrameCodec CODEC =
      new FrameCodec(
          MessageTypes.builder()
              .family("log", LogMessage.class)
              .family("scope", ScopeMessage.class)
              .build());

  @TempDir Path folder;
  private final Random random = new Random(SEED);
  private ScopeInstance instance;
  private int port;

  @BeforeEach
  void start() throws Exception {
    port = FreePort.on(SELF.value());
    ScopeNodeSettings settings =
        new ScopeNodeSettings(
            SELF,
            port,
            Optional.of(folder),
            List.of(SELF),
            true,
            1,
            4_000,
            60_000,
            ScopeSettings.DEFAULT);
    instance =
        new ScopeInstance(
            settings,
            MonotonicClock.system().nowMillis(),
            new UnresponsiveWorkers(),
            content -> configuration(),
            failure -> {
              throw new IllegalStateException(failure);
            });
    instance.start();
    askUntil(configure(), ScopeMessage.Done.class);
  }

  @AfterEach
  void stop() {
    instance.close();
  }

  @Test
  void instanceKeepsServingAfterMalformedFrames() throws Exception {
    System.out.println("seed " + SEED);
    for (int i = 0; i < FRAMES; i++) {
      send(malformed());
    }
    ScopeMessage.Configuration found =
        askUntil(new ScopeMessage.AskConfiguration(), ScopeMessage.Configuration.class);
    assertThat(found.content()).isEqualTo("the text");
    CallerAddress address = new CallerAddress("host", "/q/00ff", "k1");
    askUntil(new ScopeMessage.Submit(address, job()), ScopeMessage.Done.class);
    askUntil(new ScopeMessage.AskState(address), ScopeMessage.State.class);
  }

  /**
   * Encodes a request that is truncated or corrupted. A configuration is only truncated, since
   * corrupted content could be accepted as a different configuration.
   */
  private byte[] malformed() {
    List<ScopeMessage.Question> requests = requests();
    boolean isConfiguration = random.nextInt(requests.size() + 1) == 0;
    ScopeMessage.Question request =
        isConfiguration ? configure() : requests.get(random.nextInt(requests.size()));
    byte[] encoded = CODEC.encode(new Frame(SENDER, Frame.Purpose.ASK, random.nextInt(9), request));
    boolean isTruncated = isConfiguration || random.nextInt(4) == 0;
    return isTruncated
        ? Arrays.copyOf(encoded, 1 + random.nextInt(encoded.length - 1))
        : corrupt(encoded);
  }

  private byte[] corrupt(byte[] encoded) {
    int corruptions = 1 + random.nextInt(4);
    for (int i = 0; i < corruptions; i++) {
      encoded[random.nextInt(encoded.length)] = (byte) random.nextInt(256);
    }
    return encoded;
  }

  /** Sends a frame and a probe; a response or the end of the connection shows that it was read. */
  private void send(byte[] frame) throws IOException {
    try (Socket socket = new Socket(SELF.value(), port)) {
      DataOutputStream out = new DataOutputStream(socket.getOutputStream());
      out.writeInt(frame.length);
      out.write(frame);
      out.writeInt(0);
      out.flush();
      socket.setSoTimeout(READ_TIMEOUT_MILLIS);
      try {
        socket.getInputStream().read();
      } catch (SocketException e) {
        // The instance closed the connection before it read the probe.
      }
    }
  }

  private List<ScopeMessage.Question> requests() {
    CallerAddress address = new CallerAddress("host", "/q/00" + random.nextInt(99), "k1");
    return List.of(
        new ScopeMessage.Submit(address, job()),
        new ScopeMessage.AskState(address),
        new ScopeMessage.Cancel(address),
        new ScopeMessage.SwitchDomain(new FailureDomainId("d2"), true),
        new ScopeMessage.Heartbeat(new WorkerHeartbeat(worker(), 1, true, 500, 7)),
        new ScopeMessage.WorkerLeft(new TargetId("w1")),
        new ScopeMessage.AskConfiguration());
  }

  private static WorkerInfo worker() {
    return new WorkerInfo(
        new WorkerKey(new TargetId("w1"), 1),
        new HostPort("127.0.0.1", 9),
        new ServiceId("pool"),
        new FailureDomainId("d1"),
        new Resources(8_000, 8_000, 8),
        List.of("a", "r1"),
        "r1");
  }

  private static ScopeMessage.Configure configure() {
    return new ScopeMessage.Configure(configuration().revision(), "the text");
  }

  private static ScopeConfiguration configuration() {
    QueueSpec queue =
        new QueueSpec(
            new QueueName("q"), "host", "/q/", new ServiceId("pool"), 1, 2, 2.0, 100, false);
    CustomerSpec customer = new CustomerSpec(new CustomerId("c"), List.of("k1"), 8);
    return new ScopeConfiguration(new Revision(3), List.of(queue), List.of(customer), 1_000);
  }

  private static JobSubmission job() {
    StepSpec step = StepSpec.builder(2).task(new Resources(1_000, 100, 1)).gang(true).build();
    return new JobSubmission("payload", List.of(step), Recurrence.NONE);
  }

  private <T> T askUntil(ScopeMessage.Question request, Class<T> type) throws Exception {
    ScopeMessage.Answer response = instance.client().ask(request, REQUEST_TIMEOUT).block();
    for (int i = 0; i < MAX_ATTEMPTS && !type.isInstance(response); i++) {
      Thread.sleep(100);
      response = instance.client().ask(request, REQUEST_TIMEOUT).block();
    }
    assertWithMessage(response.toString()).that(response).isInstanceOf(type);
    return type.cast(response);
  }
}
