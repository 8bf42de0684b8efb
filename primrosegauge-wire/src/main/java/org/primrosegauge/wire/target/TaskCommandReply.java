package org.primrosegauge.wire.target;

/**
 * Answer of a worker to a command.
 *
 * @param accepted whether the worker carries the command out
 * @param reason why not; null when accepted
 * @since 0.1
 */
public record TaskCommandReply(boolean accepted, String reason) {

  /** The command is carried out. */
  public static final TaskCommandReply ACCEPTED = new TaskCommandReply(true, null);

  /**
   * Creates a refusal.
   *
   * @since 0.1
   */
  public static TaskCommandReply refused(String reason) {
    return new TaskCommandReply(false, reason);
  }
}
