package org.primrosegauge.core;

/**
 * Syntax that all ids share: 1 to 64 characters of {@code a-z 0-9 . _ -}, the first a letter or
 * digit.
 *
 * <p>Stateless and thread-safe.
 *
 * @since 0.1
 */
public final class IdSyntax {

  /** Longest id, in characters. */
  public static final int MAX_LENGTH = 64;

  private IdSyntax() {}

  /**
   * Tells whether a text is a well-formed id.
   *
   * @param text text to test; may be null
   * @since 0.1
   */
  public static boolean isValid(String text) {
    boolean hasLength = text != null && !text.isEmpty() && text.length() <= MAX_LENGTH;
    return hasLength && isLetterOrDigit(text.charAt(0)) && hasOnlyIdCharacters(text);
  }

  private static boolean hasOnlyIdCharacters(String text) {
    for (int i = 1; i < text.length(); i++) {
      char next = text.charAt(i);
      if (!isLetterOrDigit(next) && next != '.' && next != '_' && next != '-') {
        return false;
      }
    }
    return true;
  }

  private static boolean isLetterOrDigit(char character) {
    return character >= 'a' && character <= 'z' || character >= '0' && character <= '9';
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
    return "not a valid "
        + what
        + " id: "
        + (text == null ? "missing" : "'" + truncate(text) + "'");
  }

  private static String truncate(String text) {
    return text.length() <= MAX_LENGTH ? text : text.substring(0, MAX_LENGTH) + "...";
  }
}
