package org.primrosegauge.core;

/**
 * Syntax shared by all ids: 1 to 64 characters from {@code a-z 0-9 . _ -}, starting with a letter
 * or a digit.
 *
 * <p>Stateless and thread-safe.
 *
 * @since 0.1
 */
public final class IdSyntax {

  /** Maximum length of an id, in characters. */
  public static final int MAX_LENGTH = 64;

  private IdSyntax() {}

  /**
   * Returns whether the text is a well-formed id.
   *
   * @param text text to check; may be null
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
   * Returns the text if it is a well-formed id. Intended for canonical constructors of id types.
   *
   * @param what type of the id, used in the message
   * @param text text to check
   * @throws IllegalArgumentException if the text is not a well-formed id; untrusted input has to be
   *     checked with {@link #parse} first
   * @since 0.1
   */
  public static String require(String what, String text) {
    if (!isValid(text)) {
      throw new IllegalArgumentException(message(what, text));
    }
    return text;
  }

  /**
   * Returns untrusted input if it is a well-formed id.
   *
   * @param what type of the id, used in the message
   * @param text text from an untrusted source; may be null
   * @param location origin of the text, such as a file and line or a request field
   * @throws InvalidInputException if the text is not a well-formed id
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
