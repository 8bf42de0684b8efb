/** What this instance hears from the others, and what it tells them. */
package org.primrosegauge.node.membership;
