/** Jobs: their specification, phases, replicated records and final outcome. */
package org.primrosegauge.core.job;
