package org.primrosegauge.core.security;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Locale;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * SHA-256 digest of a token, the only form in which tokens are stored. Tokens are random and long,
 * so a slow, salted hash would add nothing.
 *
 * @param hex digest as 64 hexadecimal digits
 * @since 0.1
 */
public record TokenDigest(String hex) {

  private static final Pattern SYNTAX = Pattern.compile("[0-9a-f]{64}");

  /** Checks the syntax. */
  public TokenDigest {
    if (!SYNTAX.matcher(hex).matches()) {
      throw new IllegalArgumentException("not a SHA-256 digest");
    }
  }

  /**
   * Reads a digest.
   *
   * @return the digest, or nothing when the text is none
   * @since 0.1
   */
  public static Optional<TokenDigest> parse(String text) {
    String lower = text.toLowerCase(Locale.ROOT);
    return SYNTAX.matcher(lower).matches() ? Optional.of(new TokenDigest(lower)) : Optional.empty();
  }

  /**
   * Returns the digest of a token.
   *
   * @since 0.1
   */
  public static TokenDigest ofToken(String token) {
    try {
      MessageDigest sha256 = MessageDigest.getInstance("SHA-256");
      byte[] digest = sha256.digest(token.getBytes(StandardCharsets.UTF_8));
      return new TokenDigest(HexFormat.of().formatHex(digest));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }

  /**
   * Compares in a time that does not depend on where the digests differ.
   *
   * @since 0.1
   */
  public boolean matches(TokenDigest other) {
    return MessageDigest.isEqual(
        hex.getBytes(StandardCharsets.US_ASCII), other.hex.getBytes(StandardCharsets.US_ASCII));
  }

  /** Keeps digests out of logs. */
  @Override
  public String toString() {
    return "TokenDigest";
  }
}
