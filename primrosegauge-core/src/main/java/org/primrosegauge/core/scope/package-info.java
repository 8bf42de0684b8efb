/**
 * Scheduling across a scope of several failure domains: jobs whose steps depend on each other,
 * gangs whose members may run in different failure domains, and capacity guarantees to customers
 * across the whole scope.
 *
 * <p>{@link org.primrosegauge.core.scope.ScopeLedger} is the replicated state machine; {@link
 * org.primrosegauge.core.scope.ScopeScheduler} makes the decisions on the leader of the log.
 * Neither reads a clock or performs I/O.
 */
package org.primrosegauge.core.scope;
