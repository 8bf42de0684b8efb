package org.primrosegauge.core.site;

import org.primrosegauge.core.RegionId;

/**
 * A group of failure domains.
 *
 * @param id id of the region
 * @since 0.1
 */
public record Region(RegionId id) {}
