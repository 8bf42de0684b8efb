package org.primrosegauge.wire;

import org.primrosegauge.core.ErrorKind;
import org.primrosegauge.core.PrimrosegaugeException;

/**
 * Bytes received from another process cannot be read as a message.
 *
 * @since 0.1
 */
public class WireException extends PrimrosegaugeException {

  private static final long serialVersionUID = 1L;

  /**
   * Creates an error.
   *
   * @param summary what is wrong with the bytes
   * @param remedy what the reader can do about it
   * @param cause error of the codec, or null
   * @since 0.1
   */
  public WireException(String summary, String remedy, Throwable cause) {
    super(ErrorKind.INVALID_INPUT, summary, remedy, "", cause);
  }
}
