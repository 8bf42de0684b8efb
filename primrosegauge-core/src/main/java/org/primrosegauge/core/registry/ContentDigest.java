package org.primrosegauge.core.registry;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.regex.Pattern;

/**
 * SHA-256 digest of a content, in lower-case hexadecimal.
 *
 * @param value 64 hexadecimal digits
 * @since 0.1
 */
public record ContentDigest(String value) {

  private static final Pattern SYNTAX = Pattern.compile("[0-9a-f]{64}");

  /** Digest of the empty content, that a site starts from. */
  public static final ContentDigest EMPTY =
      new ContentDigest("e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855");

  /** Checks the syntax. */
  public ContentDigest {
    if (value == null || !SYNTAX.matcher(value).matches()) {
      throw new IllegalArgumentException("not a SHA-256 digest: " + value);
    }
  }

  /**
   * Returns the digest of a text in UTF-8.
   *
   * @since 0.1
   */
  public static ContentDigest of(String content) {
    return of(content.getBytes(StandardCharsets.UTF_8));
  }

  /**
   * Returns the digest of bytes.
   *
   * @since 0.1
   */
  public static ContentDigest of(byte[] content) {
    try {
      byte[] digest = MessageDigest.getInstance("SHA-256").digest(content);
      return new ContentDigest(HexFormat.of().formatHex(digest));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }

  @Override
  public String toString() {
    return value;
  }
}
