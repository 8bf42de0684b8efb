package org.primrosegauge.wire;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.Term;
import org.primrosegauge.core.log.LogEntry;
import org.primrosegauge.core.log.LogIndex;
import org.primrosegauge.core.log.LogMessage;
import org.primrosegauge.core.log.Member;
import org.primrosegauge.core.log.Membership;
import org.primrosegauge.core.log.ReplicaId;
import org.primrosegauge.core.log.StorageId;

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

  @Test
  void entriesOfTheLogKeepTheirCommandAndMembers() throws WireException {
    FrameCodec logCodec =
        new FrameCodec(MessageTypes.builder().family("log", LogMessage.class).build());
    ReplicaId replica = new ReplicaId(SENDER, new StorageId("s1"));
    Membership members = new Membership(List.of(new Member(replica, Member.Role.VOTER)));
    LogEntry command = new LogEntry(new LogIndex(2), new Term(1), 5, null, new byte[] {1, 2, 3});
    LogEntry change = new LogEntry(new LogIndex(3), new Term(1), 6, members, new byte[0]);
    LogMessage request =
        new LogMessage.AppendRequest(
            new Term(1),
            replica.storage(),
            new LogIndex(1),
            new Term(1),
            new LogIndex(1),
            77,
            List.of(command, change));
    Frame read = logCodec.decode(logCodec.encode(Frame.tell(SENDER, request)));
    assertThat(read.body()).isEqualTo(request);
  }
}
