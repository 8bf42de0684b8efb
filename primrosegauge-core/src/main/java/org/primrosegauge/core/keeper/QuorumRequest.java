package org.primrosegauge.core.keeper;

/** The last proposal to the quorum; an answer to an earlier one counts for nothing. */
final class QuorumRequest {

  private long number;
  private boolean open;
  private long sentAt;

  void restore(long number, boolean open, long sentAt) {
    this.number = number;
    this.open = open;
    this.sentAt = sentAt;
  }

  long number() {
    return number;
  }

  boolean isOpen() {
    return open;
  }

  long sentAt() {
    return sentAt;
  }

  void open(long nowMillis) {
    number++;
    open = true;
    sentAt = nowMillis;
  }

  /** Closes the request that an answer names; tells whether that was the open one. */
  boolean close(long answered) {
    boolean expected = open && answered == number;
    open = open && !expected;
    return expected;
  }
}
