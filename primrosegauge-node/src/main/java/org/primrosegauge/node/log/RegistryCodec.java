package org.primrosegauge.node.log;

import org.primrosegauge.core.registry.RegistryCommand;
import org.primrosegauge.core.registry.RegistryResult;
import org.primrosegauge.core.registry.RegistrySnapshot;
import org.primrosegauge.wire.WireException;

/**
 * Writes commands, results and snapshots of the registry as MessagePack. Equal values give equal
 * bytes.
 *
 * <p>Thread-safe.
 *
 * @since 0.1
 */
public final class RegistryCodec {

  private final PolymorphicCodec codec =
      new PolymorphicCodec(RegistryCommand.class, RegistryResult.class);

  /**
   * Writes a command, a result or a snapshot.
   *
   * @since 0.1
   */
  public byte[] write(Object value) {
    return codec.write(value);
  }

  /**
   * Reads a command.
   *
   * @throws WireException when the bytes are no command
   * @since 0.1
   */
  public RegistryCommand readCommand(byte[] bytes) throws WireException {
    return codec.read(bytes, RegistryCommand.class);
  }

  /**
   * Reads a result.
   *
   * @throws WireException when the bytes are no result
   * @since 0.1
   */
  public RegistryResult readResult(byte[] bytes) throws WireException {
    return codec.read(bytes, RegistryResult.class);
  }

  /**
   * Reads a snapshot.
   *
   * @throws WireException when the bytes are no snapshot
   * @since 0.1
   */
  public RegistrySnapshot readSnapshot(byte[] bytes) throws WireException {
    return codec.read(bytes, RegistrySnapshot.class);
  }
}
