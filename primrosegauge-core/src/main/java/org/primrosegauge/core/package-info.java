/**
 * Ids, exceptions and value types shared by all modules of primrosegauge.
 *
 * <p>Nothing in this module performs I/O, reads a clock or starts a thread: functions whose
 * decision depends on time take the current time as an argument.
 */
package org.primrosegauge.core;
