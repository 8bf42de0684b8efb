package org.primrosegauge.core.registry;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.regex.Pattern;

/**
 * SHA-256 digest of some content, in lower-case hexadecimal.
 *
 * @param value 64 hexadecimal digits
 * @since 0.1
 */
public record ContentDigest(String value) {

  private static final Pattern SYNTAX = Pattern.compile("[0-9a-f]{64}");

  /** Digest of empty content, the initial configuration of a site. */
  public static final ContentDigest EMPTY =
      new ContentDigest("e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855");

  /** Checks that the value is 64 lower-case hexadecimal digits. */
  public ContentDigest {
    if (value == null || !SYNTAX.matcher(value).matches()) {
      throw new IllegalArgumentException(
          "SHA-256 digest must be 64 lower-case hexadecimal digits, got " + value);
    }
  }

  /**
   * Returns the digest of the UTF-8 encoding of a text.
   *
   * @since 0.1
   */
  public static ContentDigest of(String content) {
    return of(content.getBytes(StandardCharsets.UTF_8));
  }

  /**
   * Returns the digest of a byte sequence.
   *
   * @since 0.1
   */
  public static ContentDigest of(byte[] content) {
    try {
      byte[] digest = MessageDigest.getInstance("SHA-256").digest(content);
      return new ContentDigest(HexFormat.of().formatHex(digest));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("SHA-256 is not available on this Java platform", e);
    }
  }

  @Override
  public String toString() {
    return value;
  }
}
