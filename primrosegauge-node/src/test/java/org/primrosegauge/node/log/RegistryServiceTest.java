package org.primrosegauge.node.log;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.primrosegauge.core.ErrorKind;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.PrimrosegaugeException;
import org.primrosegauge.core.registry.RegistryCommand;
import org.primrosegauge.node.metrics.NodeMetrics;
import org.primrosegauge.node.transport.PeerAddress;
import org.primrosegauge.node.transport.PeerSecurity;
import org.primrosegauge.node.transport.PeerTransport;
import org.primrosegauge.wire.FrameCodec;
import org.primrosegauge.wire.MessageTypes;
import reactor.core.Exceptions;
import reactor.core.publisher.Mono;

class RegistryServiceTest {

  private static final String HOST = "127.0.0.1";
  private static final InstanceId SELF = new InstanceId("self");
  private static final InstanceId VOTER = new InstanceId("voter");
  private static final RegistryCommand COMMAND =
      new RegistryCommand.ConfirmKeepersStopped(new FailureDomainId("d1"), 1);

  private static PeerTransport transport(InstanceId id) {
    MessageTypes types = MessageTypes.builder().family("registry", RegistryMessage.class).build();
    return new PeerTransport(id, new FrameCodec(types), new NodeMetrics(), PeerSecurity.NONE);
  }

  private static ErrorKind outcomeOf(RegistryService service) {
    RuntimeException error =
        assertThrows(RuntimeException.class, () -> service.propose(COMMAND).block());
    return ((PrimrosegaugeException) Exceptions.unwrap(error)).kind();
  }

  @Test
  void proposalWhoseReplyIsLostHasUnknownOutcome() throws Exception {
    try (PeerTransport voter = transport(VOTER);
        PeerTransport self = transport(SELF)) {
      voter.onAsk(RegistryMessage.Question.class, (from, request) -> Mono.never());
      voter.start(HOST, 0);
      self.connect(new PeerAddress(VOTER, HOST, voter.port()));
      while (!self.isConnected(VOTER)) {
        Thread.sleep(10);
      }
      RegistryService service =
          new RegistryService(SELF, self, List.of(VOTER), List.of(SELF, VOTER), List.of());
      assertThat(outcomeOf(service)).isEqualTo(ErrorKind.OUTCOME_UNKNOWN);
    }
  }

  @Test
  void proposalThatWasNeverSentIsUnavailable() {
    try (PeerTransport self = transport(SELF)) {
      RegistryService service =
          new RegistryService(SELF, self, List.of(VOTER), List.of(SELF, VOTER), List.of());
      assertThat(outcomeOf(service)).isEqualTo(ErrorKind.UNAVAILABLE);
    }
  }
}
