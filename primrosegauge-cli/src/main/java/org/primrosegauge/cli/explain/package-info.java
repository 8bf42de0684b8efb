/** Tells the story of a job or a call from the log lines of many processes. */
package org.primrosegauge.cli.explain;
