package org.primrosegauge.wire.impl;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.KeyDeserializer;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.deser.std.StdScalarDeserializer;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.ser.std.StdScalarSerializer;
import com.fasterxml.jackson.databind.ser.std.ToStringSerializer;
import java.io.IOException;
import java.util.function.Function;
import java.util.function.LongFunction;
import java.util.function.ToLongFunction;
import org.primrosegauge.core.CustomerId;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.JobId;
import org.primrosegauge.core.RackId;
import org.primrosegauge.core.RegionId;
import org.primrosegauge.core.RequestId;
import org.primrosegauge.core.Revision;
import org.primrosegauge.core.ServiceId;
import org.primrosegauge.core.TargetId;
import org.primrosegauge.core.Term;
import org.primrosegauge.core.log.LogIndex;
import org.primrosegauge.core.log.StorageId;
import org.primrosegauge.core.registry.ContentDigest;

/** Maps the core's value types to plain strings and numbers. Stateless once created. */
public final class ValueTypesModule extends SimpleModule {

  private static final long serialVersionUID = 1L;

  /** Creates the module with all value types registered. */
  public ValueTypesModule() {
    super("primrosegauge-value-types");
    addId(CustomerId.class, CustomerId::new);
    addId(FailureDomainId.class, FailureDomainId::new);
    addId(InstanceId.class, InstanceId::new);
    addId(JobId.class, JobId::new);
    addId(RackId.class, RackId::new);
    addId(RegionId.class, RegionId::new);
    addId(RequestId.class, RequestId::new);
    addId(ServiceId.class, ServiceId::new);
    addId(TargetId.class, TargetId::new);
    addId(StorageId.class, StorageId::new);
    addId(ContentDigest.class, ContentDigest::new);
    addNumber(LogIndex.class, LogIndex::new, LogIndex::number);
    addNumber(Term.class, Term::new, Term::number);
    addNumber(Revision.class, Revision::new, Revision::number);
  }

  private <T> void addId(Class<T> type, Function<String, T> factory) {
    addSerializer(type, ToStringSerializer.instance);
    addDeserializer(type, new TextDeserializer<>(type, factory));
    addKeyDeserializer(type, new TextKeyDeserializer<>(type, factory));
  }

  /**
   * Registers a value type that is written as one number.
   *
   * @param type value type
   * @param factory creates a value from its number
   * @param number returns the number of a value
   */
  private <T> void addNumber(Class<T> type, LongFunction<T> factory, ToLongFunction<T> number) {
    addSerializer(type, new NumberSerializer<>(type, number));
    addDeserializer(type, new NumberDeserializer<>(type, factory));
  }

  private static final class TextDeserializer<T> extends StdScalarDeserializer<T> {
    private static final long serialVersionUID = 1L;
    private final transient Function<String, T> factory;

    TextDeserializer(Class<T> type, Function<String, T> factory) {
      super(type);
      this.factory = factory;
    }

    @Override
    public T deserialize(JsonParser parser, DeserializationContext context) throws IOException {
      String text = parser.getValueAsString();
      try {
        return factory.apply(text);
      } catch (IllegalArgumentException e) {
        @SuppressWarnings("unchecked")
        T never = (T) context.handleWeirdStringValue(handledType(), text, "%s", e.getMessage());
        return never;
      }
    }
  }

  private static final class TextKeyDeserializer<T> extends KeyDeserializer {
    private final Class<T> type;
    private final Function<String, T> factory;

    TextKeyDeserializer(Class<T> type, Function<String, T> factory) {
      this.type = type;
      this.factory = factory;
    }

    @Override
    public Object deserializeKey(String key, DeserializationContext context) throws IOException {
      try {
        return factory.apply(key);
      } catch (IllegalArgumentException e) {
        return context.handleWeirdKey(type, key, "%s", e.getMessage());
      }
    }
  }

  private static final class NumberSerializer<T> extends StdScalarSerializer<T> {
    private static final long serialVersionUID = 1L;
    private final transient ToLongFunction<T> number;

    NumberSerializer(Class<T> type, ToLongFunction<T> number) {
      super(type);
      this.number = number;
    }

    @Override
    public void serialize(T value, JsonGenerator generator, SerializerProvider provider)
        throws IOException {
      generator.writeNumber(number.applyAsLong(value));
    }
  }

  private static final class NumberDeserializer<T> extends StdScalarDeserializer<T> {
    private static final long serialVersionUID = 1L;
    private final transient LongFunction<T> factory;

    NumberDeserializer(Class<T> type, LongFunction<T> factory) {
      super(type);
      this.factory = factory;
    }

    @Override
    public T deserialize(JsonParser parser, DeserializationContext context) throws IOException {
      long value = parser.getLongValue();
      try {
        return factory.apply(value);
      } catch (IllegalArgumentException e) {
        @SuppressWarnings("unchecked")
        T never = (T) context.handleWeirdNumberValue(handledType(), value, "%s", e.getMessage());
        return never;
      }
    }
  }
}
