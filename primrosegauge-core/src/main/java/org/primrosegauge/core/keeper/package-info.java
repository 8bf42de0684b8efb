/**
 * The keeper of a failure domain: the one instance that starts tasks there, under a lease and a
 * term. See {@code docs/design/keeper-lease.md}.
 */
package org.primrosegauge.core.keeper;
