package org.primrosegauge.node.journal.impl;

import com.fasterxml.jackson.annotation.JsonAutoDetect;
import com.fasterxml.jackson.annotation.PropertyAccessor;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import org.primrosegauge.wire.WireMappers;

/**
 * Writes and reads the payloads of records as MessagePack.
 *
 * <p>Thread-safe.
 */
final class JournalCodec {

  private final ObjectMapper mapper =
      WireMappers.messagePack()
          .setVisibility(PropertyAccessor.IS_GETTER, JsonAutoDetect.Visibility.NONE);

  JournalRecord write(JournalRecord.Type type, Object value) {
    try {
      return new JournalRecord(type, mapper.writeValueAsBytes(value));
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("cannot be written: " + value, e);
    }
  }

  <T> T read(JournalRecord record, Class<T> type) throws IOException {
    return mapper.readValue(record.payload(), type);
  }
}
