package org.primrosegauge.node.log;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.jsontype.NamedType;
import java.io.IOException;
import org.primrosegauge.core.registry.RegistryCommand;
import org.primrosegauge.core.registry.RegistryResult;
import org.primrosegauge.core.registry.RegistrySnapshot;
import org.primrosegauge.wire.WireException;
import org.primrosegauge.wire.WireMappers;

/**
 * Writes commands, results and snapshots of the registry as MessagePack. Equal values give equal
 * bytes.
 *
 * <p>Thread-safe.
 *
 * @since 0.1
 */
public final class RegistryCodec {

  /** Adds the name of the type to the members of a sealed family. */
  @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "@")
  private interface Typed {}

  private final ObjectMapper mapper = WireMappers.messagePack();

  /**
   * Creates a codec.
   *
   * @since 0.1
   */
  public RegistryCodec() {
    register(RegistryCommand.class);
    register(RegistryResult.class);
  }

  /**
   * Writes a command, a result or a snapshot.
   *
   * @since 0.1
   */
  public byte[] write(Object value) {
    try {
      return mapper.writeValueAsBytes(value);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("cannot be written: " + value, e);
    }
  }

  /**
   * Reads a command.
   *
   * @throws WireException when the bytes are no command
   * @since 0.1
   */
  public RegistryCommand readCommand(byte[] bytes) throws WireException {
    return read(bytes, RegistryCommand.class);
  }

  /**
   * Reads a result.
   *
   * @throws WireException when the bytes are no result
   * @since 0.1
   */
  public RegistryResult readResult(byte[] bytes) throws WireException {
    return read(bytes, RegistryResult.class);
  }

  /**
   * Reads a snapshot.
   *
   * @throws WireException when the bytes are no snapshot
   * @since 0.1
   */
  public RegistrySnapshot readSnapshot(byte[] bytes) throws WireException {
    return read(bytes, RegistrySnapshot.class);
  }

  private <T> T read(byte[] bytes, Class<T> type) throws WireException {
    try {
      T value = mapper.readValue(bytes, type);
      if (value == null) {
        throw new WireException("no " + type.getSimpleName(), "run the same release", null);
      }
      return value;
    } catch (IOException | RuntimeException e) {
      throw new WireException(
          "no readable " + type.getSimpleName(),
          "run the same release on all instances, or restore the data folder",
          e);
    }
  }

  private void register(Class<?> family) {
    mapper.addMixIn(family, Typed.class);
    registerMembers(family);
  }

  private void registerMembers(Class<?> family) {
    for (Class<?> member : family.getPermittedSubclasses()) {
      if (member.isSealed()) {
        registerMembers(member);
      } else {
        mapper.registerSubtypes(new NamedType(member, member.getSimpleName()));
      }
    }
  }
}
