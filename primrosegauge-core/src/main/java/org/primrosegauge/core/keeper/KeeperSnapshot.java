package org.primrosegauge.core.keeper;

import java.util.List;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.Term;

/**
 * Whole state of a {@link KeeperLease} as a value. Times are on the instance's own clock, in
 * milliseconds.
 *
 * @param recoveryUntil no office is taken before; set at start
 * @param promiseUntil end of the promise given last
 * @param highest highest term seen
 * @param office term held, or {@link Term#NONE}
 * @param announced whether {@link KeeperAction.TookOffice} was returned for the term held
 * @param leaseUntil end of the lease
 * @param sets instance sets known
 * @param acknowledgeAt when the pending set may be acknowledged
 * @param round number of the last request to the peers; 0 when none is open
 * @param roundSentAt when that request was sent
 * @param grants members that granted it, sorted
 * @param request number of the last proposal to the quorum
 * @param requestOpen whether that proposal awaits its answer
 * @param requestSentAt when it was sent
 * @param nextAttemptAt when to renew or acquire next
 * @since 0.1
 */
public record KeeperSnapshot(
    long recoveryUntil,
    long promiseUntil,
    Term highest,
    Term office,
    boolean announced,
    long leaseUntil,
    SetView sets,
    long acknowledgeAt,
    long round,
    long roundSentAt,
    List<InstanceId> grants,
    long request,
    boolean requestOpen,
    long requestSentAt,
    long nextAttemptAt) {}
