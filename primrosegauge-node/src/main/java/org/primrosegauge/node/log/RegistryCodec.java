package org.primrosegauge.node.log;

import org.primrosegauge.core.registry.RegistryCommand;
import org.primrosegauge.core.registry.RegistryResult;
import org.primrosegauge.core.registry.RegistrySnapshot;
import org.primrosegauge.wire.WireException;

/**
 * Serializes commands, results and snapshots of the registry as MessagePack. Equal values have
 * equal bytes.
 *
 * <p>Thread-safe.
 *
 * @since 0.1
 */
public final class RegistryCodec {

  private final PolymorphicCodec codec =
      new PolymorphicCodec(RegistryCommand.class, RegistryResult.class);

  /**
   * Serializes a command, a result or a snapshot.
   *
   * @since 0.1
   */
  public byte[] write(Object value) {
    return codec.write(value);
  }

  /**
   * Deserializes a command.
   *
   * @throws WireException if the bytes are not a valid command
   * @since 0.1
   */
  public RegistryCommand readCommand(byte[] bytes) throws WireException {
    return codec.read(bytes, RegistryCommand.class);
  }

  /**
   * Deserializes a result.
   *
   * @throws WireException if the bytes are not a valid result
   * @since 0.1
   */
  public RegistryResult readResult(byte[] bytes) throws WireException {
    return codec.read(bytes, RegistryResult.class);
  }

  /**
   * Deserializes a snapshot.
   *
   * @throws WireException if the bytes are not a valid snapshot
   * @since 0.1
   */
  public RegistrySnapshot readSnapshot(byte[] bytes) throws WireException {
    return codec.read(bytes, RegistrySnapshot.class);
  }
}
