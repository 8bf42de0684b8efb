package org.primrosegauge.core.scope;

/**
 * Name that identifies a queue in the configuration.
 *
 * @param value name, not empty
 * @since 0.2
 */
public record QueueName(String value) {

  /** Rejects a null or empty name. */
  public QueueName {
    if (value == null || value.isEmpty()) {
      throw new IllegalArgumentException("queue name must not be empty");
    }
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof QueueName that && value.equals(that.value);
  }

  @Override
  public int hashCode() {
    return value.hashCode();
  }

  @Override
  public String toString() {
    return value;
  }
}
