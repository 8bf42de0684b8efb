package org.primrosegauge.node.log;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.jsontype.NamedType;
import java.io.IOException;
import org.primrosegauge.wire.WireException;
import org.primrosegauge.wire.WireMappers;

/**
 * Serializes records and subtypes of sealed interfaces as MessagePack. Equal values have equal
 * bytes.
 *
 * <p>Thread-safe.
 *
 * @since 0.2
 */
public final class PolymorphicCodec {

  /** Adds the type name to the subtypes of a sealed interface. */
  @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "@")
  private interface TypeNameMixIn {}

  private final ObjectMapper mapper = WireMappers.messagePack();

  /**
   * Creates a codec.
   *
   * @param families sealed interfaces whose subtypes are identified by their simple names
   * @since 0.2
   */
  public PolymorphicCodec(Class<?>... families) {
    for (Class<?> family : families) {
      mapper.addMixIn(family, TypeNameMixIn.class);
      registerSubtypesOf(family);
    }
  }

  /**
   * Serializes a value.
   *
   * @since 0.2
   */
  public byte[] write(Object value) {
    try {
      return mapper.writeValueAsBytes(value);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("value cannot be serialized: " + value, e);
    }
  }

  /**
   * Deserializes a value.
   *
   * @throws WireException if the bytes are not a valid value of that type
   * @since 0.2
   */
  public <T> T read(byte[] bytes, Class<T> type) throws WireException {
    try {
      T value = mapper.readValue(bytes, type);
      if (value == null) {
        throw new WireException(
            "null instead of a value of type " + type.getSimpleName(),
            "run the same release",
            null);
      }
      return value;
    } catch (IOException | RuntimeException e) {
      throw new WireException(
          "bytes cannot be deserialized as " + type.getSimpleName(),
          "run the same release on all instances, or restore the data folder",
          e);
    }
  }

  private void registerSubtypesOf(Class<?> family) {
    for (Class<?> member : family.getPermittedSubclasses()) {
      if (member.isSealed()) {
        registerSubtypesOf(member);
      } else {
        mapper.registerSubtypes(new NamedType(member, member.getSimpleName()));
      }
    }
  }
}
