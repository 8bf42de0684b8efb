/** Settings of the job ledger. */
package org.primrosegauge.core.job.cfg;
