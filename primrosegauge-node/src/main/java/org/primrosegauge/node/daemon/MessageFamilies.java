package org.primrosegauge.node.daemon;

import org.primrosegauge.core.keeper.KeeperMessage;
import org.primrosegauge.core.log.LogMessage;
import org.primrosegauge.core.membership.InstanceStatus;
import org.primrosegauge.node.job.JobMessage;
import org.primrosegauge.node.log.RegistryMessage;
import org.primrosegauge.node.operator.DomainMessage;
import org.primrosegauge.node.request.RequestMessage;
import org.primrosegauge.wire.MessageTypes;

/** All messages that instances exchange. */
final class MessageFamilies {

  static final MessageTypes TYPES =
      MessageTypes.builder()
          .family("log", LogMessage.class)
          .family("keeper", KeeperMessage.class)
          .family("registry", RegistryMessage.class)
          .family("job", JobMessage.class)
          .family("request", RequestMessage.class)
          .family("domain", DomainMessage.class)
          .family("status", InstanceStatus.class)
          .build();

  private MessageFamilies() {}
}
