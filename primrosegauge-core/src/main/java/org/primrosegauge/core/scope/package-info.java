/**
 * Scheduling over a scope of several failure domains: jobs of steps with dependencies, gangs whose
 * members may run in different failure domains, and customers' guarantees over the whole scope.
 *
 * <p>{@link org.primrosegauge.core.scope.ScopeLedger} is the replicated state; {@link
 * org.primrosegauge.core.scope.ScopeScheduler} decides at the leader of the log. Neither reads a
 * clock or does input or output.
 */
package org.primrosegauge.core.scope;
