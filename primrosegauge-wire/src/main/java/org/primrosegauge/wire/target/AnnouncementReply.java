package org.primrosegauge.wire.target;

import java.util.List;
import org.primrosegauge.core.TaskId;

/**
 * Answer to an announcement.
 *
 * @param leaseMillis how long the announcement holds, in milliseconds
 * @param announceTo base address of the instance that the target shall announce itself to from now
 *     on; null for the one that answered
 * @param acknowledged ends of tasks that need not be reported again
 * @since 0.1
 */
public record AnnouncementReply(long leaseMillis, String announceTo, List<TaskId> acknowledged) {}
