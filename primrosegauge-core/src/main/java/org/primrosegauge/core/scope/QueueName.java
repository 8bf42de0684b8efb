package org.primrosegauge.core.scope;

/**
 * Identifies a queue of the configuration.
 *
 * @param value name, not empty
 * @since 0.2
 */
public record QueueName(String value) {

  /** Checks that there is a name. */
  public QueueName {
    if (value == null || value.isEmpty()) {
      throw new IllegalArgumentException("empty name of a queue");
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
