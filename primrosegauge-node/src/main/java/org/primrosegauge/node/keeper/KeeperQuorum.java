package org.primrosegauge.node.keeper;

import org.primrosegauge.core.keeper.QuorumResult;
import org.primrosegauge.core.registry.RegistryCommand.KeeperCommand;
import reactor.core.publisher.Mono;

/**
 * Port through which a keeper asks the quorum about its office.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface KeeperQuorum {

  /**
   * Proposes a command to the replicated log.
   *
   * @return what was decided; an error when that is not known
   * @since 0.1
   */
  Mono<QuorumResult> propose(KeeperCommand command);
}
