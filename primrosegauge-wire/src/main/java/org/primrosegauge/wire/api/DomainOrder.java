package org.primrosegauge.wire.api;

import org.primrosegauge.core.Revision;
import org.primrosegauge.core.site.DomainSwitch.RunningWorkPolicy;

/**
 * Body with which an operator takes a failure domain out or in.
 *
 * @param out whether it goes out
 * @param work what happens to running work; finish when left out
 * @param revision operators' revision; the one after the known one when left out
 * @since 0.1
 */
public record DomainOrder(boolean out, RunningWorkPolicy work, Revision revision) {}
