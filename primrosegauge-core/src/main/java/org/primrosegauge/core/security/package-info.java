/** Who a caller is and what it may do: tokens, scopes and the access policy. */
package org.primrosegauge.core.security;
