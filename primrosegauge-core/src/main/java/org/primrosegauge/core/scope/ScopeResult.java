package org.primrosegauge.core.scope;

/**
 * What a {@link ScopeCommand} did.
 *
 * @since 0.2
 */
public enum ScopeResult {
  /** It changed the state, or the state was already so. */
  APPLIED,
  /** It names a job that is not known. */
  UNKNOWN_JOB
}
