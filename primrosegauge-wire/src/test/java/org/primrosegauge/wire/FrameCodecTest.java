package org.primrosegauge.wire;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.Term;

class FrameCodecTest {

  private static final InstanceId SENDER = new InstanceId("klang-1");

  private final FrameCodec codec =
      new FrameCodec(MessageTypes.builder().family("test", Sample.class).build());

  sealed interface Sample {
    record Ping(Term term, byte[] payload) implements Sample {}

    record Name(InstanceId instance) implements Sample {}
  }

  @Property(seed = "20261203", tries = 200)
  void roundTrips(@ForAll long correlation, @ForAll byte[] payload) throws WireException {
    Frame frame =
        new Frame(SENDER, Frame.Purpose.ASK, correlation, new Sample.Ping(new Term(7), payload));
    Frame read = codec.decode(codec.encode(frame));
    assertThat(read.from()).isEqualTo(SENDER);
    assertThat(read.purpose()).isEqualTo(Frame.Purpose.ASK);
    assertThat(read.correlation()).isEqualTo(correlation);
    Sample.Ping ping = (Sample.Ping) read.body();
    assertThat(ping.term()).isEqualTo(new Term(7));
    assertThat(ping.payload()).isEqualTo(payload);
  }

  @Property(seed = "20261204", tries = 500)
  void answersArbitraryBytesWithTypedError(@ForAll @Size(max = 200) byte[] bytes) {
    assertThrows(WireException.class, () -> codec.decode(bytes));
  }

  @Property(seed = "20261205", tries = 300)
  void damagedFrameIsReadOrRefusedButNeverCrashes(@ForAll int position, @ForAll byte value) {
    byte[] bytes = codec.encode(Frame.tell(SENDER, new Sample.Name(new InstanceId("johor-2"))));
    bytes[Math.floorMod(position, bytes.length)] = value;
    try {
      assertThat(codec.decode(bytes).body()).isNotNull();
    } catch (WireException e) {
      assertThat(e).hasMessageThat().contains("remedy");
    }
  }
}
