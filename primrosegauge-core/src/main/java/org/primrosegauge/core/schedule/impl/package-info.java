/** Internals of the scheduler; not for use outside {@code core.schedule}. */
package org.primrosegauge.core.schedule.impl;
