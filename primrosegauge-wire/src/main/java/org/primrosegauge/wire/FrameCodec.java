package org.primrosegauge.wire;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import org.primrosegauge.core.InstanceId;

/**
 * Writes and reads {@link Frame}s as MessagePack. The 4-byte length in front of each frame is the
 * transport's, which refuses a frame beyond its limit before it allocates memory for it.
 *
 * <p>Thread-safe.
 *
 * @since 0.1
 */
public final class FrameCodec {

  private final ObjectMapper mapper = WireMappers.messagePack();
  private final MessageTypes types;

  /**
   * Creates a codec.
   *
   * @param types message types it understands
   * @since 0.1
   */
  public FrameCodec(MessageTypes types) {
    this.types = types;
  }

  /**
   * Writes a frame.
   *
   * @throws IllegalArgumentException when the body's type was not registered
   * @since 0.1
   */
  public byte[] encode(Frame frame) {
    try {
      byte[] body = mapper.writeValueAsBytes(frame.body());
      return mapper.writeValueAsBytes(
          new Envelope(
              frame.from(),
              frame.purpose().ordinal(),
              frame.correlation(),
              types.nameOf(frame.body()),
              body));
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("message cannot be written: " + frame.body(), e);
    }
  }

  /**
   * Reads a frame.
   *
   * @throws WireException when the bytes are no frame or name an unknown type
   * @since 0.1
   */
  public Frame decode(byte[] bytes) throws WireException {
    try {
      Envelope envelope = mapper.readValue(bytes, Envelope.class);
      return new Frame(
          envelope.from(),
          purpose(envelope.purpose()),
          envelope.correlation(),
          body(envelope.type(), envelope.body()));
    } catch (IOException | RuntimeException e) {
      throw new WireException(
          "frame of " + bytes.length + " bytes cannot be read",
          "run the same release on both instances and check that the port is a peer port",
          e);
    }
  }

  private static Frame.Purpose purpose(int ordinal) throws WireException {
    Frame.Purpose[] purposes = Frame.Purpose.values();
    if (ordinal < 0 || ordinal >= purposes.length) {
      throw new WireException("unknown purpose " + ordinal, "run the same release", null);
    }
    return purposes[ordinal];
  }

  private Object body(String type, byte[] body) throws IOException, WireException {
    Class<?> bodyType =
        types
            .typeOf(type)
            .orElseThrow(
                () -> new WireException("unknown type " + type, "run the same release", null));
    Object message = mapper.readValue(body, bodyType);
    if (message == null) {
      throw new WireException("empty body of type " + type, "run the same release", null);
    }
    return message;
  }

  private record Envelope(
      InstanceId from, int purpose, long correlation, String type, byte[] body) {

    private Envelope {
      if (from == null || type == null || body == null) {
        throw new IllegalArgumentException("incomplete envelope");
      }
    }
  }
}
