package org.primrosegauge.core;

import java.util.regex.Pattern;

/**
 * Syntax that all ids share: 1 to 64 characters of {@code a-z 0-9 . _ -}, the first a letter or
 * digit.
 *
 * <p>Stateless and thread-safe.
 *
 * @since 0.1
 */
public final class Names {

  /** Longest id, in characters. */
  public static final int MAX_LENGTH = 64;

  private static final Pattern SYNTAX =
      Pattern.compile("[a-z0-9][a-z0-9._-]{0," + (MAX_LENGTH - 1) + "}");

  private Names() {}

  /**
   * Tells whether a text is a well-formed id.
   *
   * @param text text to test; may be null
   * @since 0.1
   */
  public static boolean isValid(String text) {
    return text != null && SYNTAX.matcher(text).matches();
  }

  /**
   * Returns the text, for use in canonical constructors of ids.
   *
   * @param what kind of the id, for the message
   * @param text text to test
   * @throws IllegalArgumentException when the text is no id; input from outside goes through {@link
   *     #parse} first
   * @since 0.1
   */
  public static String require(String what, String text) {
    if (!isValid(text)) {
      throw new IllegalArgumentException(message(what, text));
    }
    return text;
  }

  /**
   * Returns the text if it is a well-formed id.
   *
   * @param what kind of the id, for the message
   * @param text text received from outside
   * @param location where the text was found, such as a file and line or a request field
   * @throws InvalidInputException when it is no id
   * @since 0.1
   */
  public static String parse(String what, String text, String location)
      throws InvalidInputException {
    if (!isValid(text)) {
      throw new InvalidInputException(
          message(what, text),
          "use 1 to " + MAX_LENGTH + " characters of a-z, 0-9, '.', '_' and '-'",
          location);
    }
    return text;
  }

  private static String message(String what, String text) {
    return "not a valid " + what + " id: " + (text == null ? "missing" : "'" + abridge(text) + "'");
  }

  private static String abridge(String text) {
    return text.length() <= MAX_LENGTH ? text : text.substring(0, MAX_LENGTH) + "...";
  }
}
