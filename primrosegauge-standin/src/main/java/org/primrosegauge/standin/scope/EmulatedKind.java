package org.primrosegauge.standin.scope;

import org.primrosegauge.core.ServiceId;
import org.primrosegauge.core.job.Resources;

/**
 * What a worker of an emulated scope announces from its next lifetime on.
 *
 * @param pool service whose jobs it runs
 * @param capacity its capacity
 * @param label label that it has besides its rack
 */
record EmulatedKind(ServiceId pool, Resources capacity, String label) {}
