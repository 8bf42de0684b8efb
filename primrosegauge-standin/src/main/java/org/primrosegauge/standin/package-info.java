/** Small stand-ins for workers and executors, for tests and the local site. */
package org.primrosegauge.standin;
