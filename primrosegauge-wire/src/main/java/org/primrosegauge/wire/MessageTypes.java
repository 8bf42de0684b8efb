package org.primrosegauge.wire;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Names of the message types that instances exchange. A type's name is that of its family and its
 * simple class name, such as {@code log.VoteRequest}.
 *
 * <p>Immutable and thread-safe.
 *
 * @since 0.1
 */
public final class MessageTypes {

  private final Map<String, Class<?>> typesByName;
  private final Map<Class<?>, String> namesByType;

  private MessageTypes(Builder builder) {
    this.typesByName = Map.copyOf(builder.typesByName);
    this.namesByType = Map.copyOf(builder.namesByType);
  }

  /**
   * Creates a builder without types.
   *
   * @since 0.1
   */
  public static Builder builder() {
    return new Builder();
  }

  /**
   * Returns the name of a message's type.
   *
   * @throws IllegalArgumentException when the type was not registered
   * @since 0.1
   */
  public String nameOf(Object message) {
    String name = namesByType.get(message.getClass());
    if (name == null) {
      throw new IllegalArgumentException("unregistered message type " + message.getClass());
    }
    return name;
  }

  /**
   * Returns the type of a name; empty when there is none.
   *
   * @since 0.1
   */
  public Optional<Class<?>> typeOf(String name) {
    return Optional.ofNullable(typesByName.get(name));
  }

  /** Collects message types. Not thread-safe. */
  public static final class Builder {

    private final Map<String, Class<?>> typesByName = new LinkedHashMap<>();
    private final Map<Class<?>, String> namesByType = new LinkedHashMap<>();

    private Builder() {}

    /**
     * Registers all records of a sealed interface.
     *
     * @param family prefix of the names
     * @param root sealed interface, or one record
     * @since 0.1
     */
    public Builder family(String family, Class<?> root) {
      if (root.isSealed()) {
        for (Class<?> permitted : root.getPermittedSubclasses()) {
          family(family, permitted);
        }
        return this;
      }
      String name = family + "." + root.getSimpleName();
      if (typesByName.putIfAbsent(name, root) != null) {
        throw new IllegalArgumentException("two message types named " + name);
      }
      namesByType.put(root, name);
      return this;
    }

    /**
     * Creates the immutable set of types.
     *
     * @since 0.1
     */
    public MessageTypes build() {
      return new MessageTypes(this);
    }
  }
}
