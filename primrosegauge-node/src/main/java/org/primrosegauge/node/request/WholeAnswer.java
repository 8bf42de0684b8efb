package org.primrosegauge.node.request;

/**
 * An executor's answer, whole.
 *
 * @param status HTTP status
 * @param mediaType media type of the body
 * @param body body
 * @since 0.1
 */
record WholeAnswer(int status, String mediaType, byte[] body) {

  static final WholeAnswer NONE = new WholeAnswer(0, "", new byte[0]);
}
