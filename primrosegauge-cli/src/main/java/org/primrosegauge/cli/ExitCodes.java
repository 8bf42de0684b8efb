package org.primrosegauge.cli;

import org.primrosegauge.core.ErrorKind;

/**
 * Exit codes of the command line. They never change between releases.
 *
 * @since 0.1
 */
public final class ExitCodes {

  /** The command did what it was asked to do. */
  public static final int OK = 0;

  /** The input has faults, or the site can never carry it. */
  public static final int INVALID = 1;

  /** The command line itself is wrong. */
  public static final int USAGE = 2;

  /** The thing named does not exist. */
  public static final int NOT_FOUND = 3;

  /** The change contradicts something already accepted. */
  public static final int CONFLICT = 4;

  /** The token is missing, unknown or does not allow this. */
  public static final int DENIED = 5;

  /** Nothing was done; trying again later helps. */
  public static final int RETRY = 6;

  /** Whether it was done is not known. */
  public static final int OUTCOME_UNKNOWN = 7;

  /** Accepted, but not yet in force everywhere when the wait ended. */
  public static final int NOT_IN_FORCE = 8;

  /** The job ended without success. */
  public static final int JOB_FAILED = 9;

  /** A fault of the program. */
  public static final int INTERNAL = 70;

  private ExitCodes() {}

  static int of(ErrorKind kind) {
    return switch (kind) {
      case INVALID_INPUT, INFEASIBLE -> INVALID;
      case NOT_FOUND -> NOT_FOUND;
      case CONFLICT -> CONFLICT;
      case UNAUTHENTICATED, FORBIDDEN -> DENIED;
      case OVER_LIMIT, DEADLINE, UNAVAILABLE -> RETRY;
      case OUTCOME_UNKNOWN -> OUTCOME_UNKNOWN;
      case TARGET_FAILED -> JOB_FAILED;
      case STORAGE, INTERNAL -> INTERNAL;
    };
  }
}
