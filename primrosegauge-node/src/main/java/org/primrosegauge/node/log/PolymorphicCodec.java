package org.primrosegauge.node.log;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.jsontype.NamedType;
import java.io.IOException;
import org.primrosegauge.wire.WireException;
import org.primrosegauge.wire.WireMappers;

/**
 * Writes records and members of sealed families as MessagePack. Equal values give equal bytes.
 *
 * <p>Thread-safe.
 *
 * @since 0.2
 */
public final class PolymorphicCodec {

  /** Adds the name of the type to the members of a sealed family. */
  @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "@")
  private interface TypeNameMixIn {}

  private final ObjectMapper mapper = WireMappers.messagePack();

  /**
   * Creates a codec.
   *
   * @param families sealed interfaces whose members are read by the name of their type
   * @since 0.2
   */
  public PolymorphicCodec(Class<?>... families) {
    for (Class<?> family : families) {
      mapper.addMixIn(family, TypeNameMixIn.class);
      registerSubtypes(family);
    }
  }

  /**
   * Writes a value.
   *
   * @since 0.2
   */
  public byte[] write(Object value) {
    try {
      return mapper.writeValueAsBytes(value);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("cannot be written: " + value, e);
    }
  }

  /**
   * Reads a value.
   *
   * @throws WireException when the bytes are no value of that type
   * @since 0.2
   */
  public <T> T read(byte[] bytes, Class<T> type) throws WireException {
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

  private void registerSubtypes(Class<?> family) {
    for (Class<?> member : family.getPermittedSubclasses()) {
      if (member.isSealed()) {
        registerSubtypes(member);
      } else {
        mapper.registerSubtypes(new NamedType(member, member.getSimpleName()));
      }
    }
  }
}
