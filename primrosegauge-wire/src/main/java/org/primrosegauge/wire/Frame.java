package org.primrosegauge.wire;

import org.primrosegauge.core.InstanceId;

/**
 * One message between two instances.
 *
 * @param from sender
 * @param purpose how the receiver treats the message
 * @param correlation matches a reply with its question; 0 for a one-way message
 * @param body message, of a registered type
 * @since 0.1
 */
public record Frame(InstanceId from, Purpose purpose, long correlation, Object body) {

  /** How the receiver treats a message. */
  public enum Purpose {
    /** Needs no reply. */
    TELL,
    /** Needs one reply with the same correlation. */
    ASK,
    /** Answers a question. */
    REPLY
  }

  /**
   * Creates a message that needs no reply.
   *
   * @since 0.1
   */
  public static Frame tell(InstanceId from, Object body) {
    return new Frame(from, Purpose.TELL, 0, body);
  }
}
