package org.primrosegauge.wire.api;

import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.Revision;
import org.primrosegauge.core.site.DomainSwitch.RunningWorkPolicy;

/**
 * A failure domain's switch and where it stands.
 *
 * @param id failure domain
 * @param out whether it is out
 * @param work what happens to running work
 * @param revision operators' revision of the switch
 * @param state {@code in-force} once the domain's keeper has acknowledged it or its lease is over,
 *     otherwise {@code accepted}
 * @param keeper keeper of the domain, as known
 * @param reason why it is not in force yet, and what to do; null when it is
 * @since 0.1
 */
public record DomainView(
    FailureDomainId id,
    boolean out,
    RunningWorkPolicy work,
    Revision revision,
    String state,
    InstanceId keeper,
    String reason) {}
