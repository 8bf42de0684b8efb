package org.primrosegauge.node.transport;

import io.netty.channel.Channel;
import org.primrosegauge.core.InstanceId;
import reactor.netty.tcp.TcpClient;
import reactor.netty.tcp.TcpServer;

/**
 * Encryption between instances and the check that a peer is who it says.
 *
 * @since 0.1
 */
public interface PeerSecurity {

  /** No encryption; every sender is believed. Only by an explicit setting. */
  PeerSecurity NONE =
      new PeerSecurity() {
        @Override
        public TcpServer secure(TcpServer server) {
          return server;
        }

        @Override
        public TcpClient secure(TcpClient client) {
          return client;
        }

        @Override
        public boolean isSender(Channel channel, InstanceId sender) {
          return true;
        }
      };

  /**
   * Adds encryption to the accepting side.
   *
   * @since 0.1
   */
  TcpServer secure(TcpServer server);

  /**
   * Adds encryption to the connecting side.
   *
   * @since 0.1
   */
  TcpClient secure(TcpClient client);

  /**
   * Tells whether a connection belongs to an instance.
   *
   * @since 0.1
   */
  boolean isSender(Channel channel, InstanceId sender);
}
