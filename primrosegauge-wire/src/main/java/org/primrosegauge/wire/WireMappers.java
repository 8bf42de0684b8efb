package org.primrosegauge.wire;

import com.fasterxml.jackson.annotation.JsonAutoDetect;
import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.PropertyAccessor;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import org.msgpack.jackson.dataformat.MessagePackFactory;
import org.primrosegauge.wire.impl.ValueTypesModule;

/**
 * Creates the mappers for JSON (towards callers, operators and targets) and MessagePack (between
 * instances). Ids, terms and revisions are plain strings and numbers in both.
 *
 * <p>Stateless; the mappers returned are thread-safe as long as they are not reconfigured.
 *
 * @since 0.1
 */
public final class WireMappers {

  private WireMappers() {}

  /**
   * Creates a mapper for JSON. Unknown fields are refused, so that a misspelt field of a caller is
   * an error instead of a silent default.
   *
   * @since 0.1
   */
  public static ObjectMapper json() {
    return JsonMapper.builder()
        .addModule(new ValueTypesModule())
        .addModule(new Jdk8Module())
        .disable(MapperFeature.AUTO_DETECT_IS_GETTERS)
        .enable(MapperFeature.ACCEPT_CASE_INSENSITIVE_ENUMS)
        .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
        .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
        .defaultPropertyInclusion(
            JsonInclude.Value.construct(JsonInclude.Include.NON_NULL, JsonInclude.Include.NON_NULL))
        .build();
  }

  /**
   * Creates a mapper for MessagePack. Unknown fields are ignored, so that instances of two releases
   * understand each other during an upgrade.
   *
   * @since 0.1
   */
  public static ObjectMapper messagePack() {
    ObjectMapper mapper = new ObjectMapper(new MessagePackFactory());
    mapper.registerModule(new ValueTypesModule());
    mapper.registerModule(new Jdk8Module());
    mapper.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
    mapper.setDefaultPropertyInclusion(JsonInclude.Include.NON_NULL);
    mapper.setVisibility(PropertyAccessor.IS_GETTER, JsonAutoDetect.Visibility.NONE);
    return mapper;
  }
}
