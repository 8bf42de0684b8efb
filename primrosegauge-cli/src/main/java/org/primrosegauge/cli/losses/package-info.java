/** Finds out from log lines where the time of jobs went that missed their objective. */
package org.primrosegauge.cli.losses;
