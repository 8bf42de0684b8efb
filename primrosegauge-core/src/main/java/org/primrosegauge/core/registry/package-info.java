/**
 * State machine of the replicated log: the accepted configuration with its history, domain
 * switches, leadership of failure domains, claims of service requests and job records.
 *
 * <p>{@link org.primrosegauge.core.registry.ConfigurationRegistry} is the entry point. Commands,
 * results and the snapshot are records; the node serialises them.
 */
package org.primrosegauge.core.registry;
