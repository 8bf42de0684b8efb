package org.primrosegauge.node.reload;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.List;
import org.primrosegauge.core.InvalidInputException;
import org.primrosegauge.core.PrimrosegaugeException;

/**
 * A value that is parsed from files and parsed again when their contents change. When the new
 * contents are faulty, the last good value stays in use.
 *
 * <p>{@link #current} may be called from any thread, {@link #check} from one at a time.
 *
 * @param <T> immutable type of the value
 * @since 0.1
 */
public final class ReloadingFiles<T> {

  /**
   * Makes the value out of the files.
   *
   * @param <T> type of the value
   */
  @FunctionalInterface
  public interface Parser<T> {

    /**
     * Reads the files.
     *
     * @throws PrimrosegaugeException when they are faulty
     */
    T parse() throws PrimrosegaugeException;
  }

  private final List<Path> files;
  private final Parser<T> parser;
  private volatile T current;
  private byte[] fingerprint;

  private ReloadingFiles(List<Path> files, Parser<T> parser) {
    this.files = List.copyOf(files);
    this.parser = parser;
  }

  /**
   * Reads the files for the first time.
   *
   * @throws PrimrosegaugeException when they cannot be read or are faulty
   * @since 0.1
   */
  public static <T> ReloadingFiles<T> open(List<Path> files, Parser<T> parser)
      throws PrimrosegaugeException {
    ReloadingFiles<T> reloading = new ReloadingFiles<>(files, parser);
    reloading.check();
    return reloading;
  }

  /**
   * Returns the value in use.
   *
   * @since 0.1
   */
  public T current() {
    return current;
  }

  /**
   * Reads the files again when their contents have changed.
   *
   * @return whether a new value is in use
   * @throws PrimrosegaugeException when the new contents cannot be used; the value in use stays,
   *     and the next check tries again
   * @since 0.1
   */
  public boolean check() throws PrimrosegaugeException {
    byte[] present = fingerprintOf(files);
    if (Arrays.equals(present, fingerprint)) {
      return false;
    }
    T parsed = parser.parse();
    // Files that changed while they were parsed may not belong together.
    if (!Arrays.equals(present, fingerprintOf(files))) {
      return false;
    }
    current = parsed;
    fingerprint = present;
    return true;
  }

  private static byte[] fingerprintOf(List<Path> files) throws PrimrosegaugeException {
    MessageDigest digest = sha256();
    for (Path file : files) {
      digest.update(sha256().digest(read(file)));
    }
    return digest.digest();
  }

  private static byte[] read(Path file) throws InvalidInputException {
    try {
      return Files.readAllBytes(file);
    } catch (IOException e) {
      throw new InvalidInputException(
          "the file cannot be read", "make it readable for the process", file.toString(), e);
    }
  }

  private static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }
}
