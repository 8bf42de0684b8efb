/** Jobs: what callers submit, the states a job goes through, and its one final answer. */
package org.primrosegauge.core.job;
