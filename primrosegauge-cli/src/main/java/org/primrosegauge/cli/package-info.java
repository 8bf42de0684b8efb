/** Command line of primrosegauge. */
package org.primrosegauge.cli;
