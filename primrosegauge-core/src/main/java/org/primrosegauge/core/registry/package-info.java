/**
 * What the replicated log keeps: the accepted configuration with its history, domain switches,
 * keepers of failure domains, claims of service requests and job records.
 *
 * <p>{@link org.primrosegauge.core.registry.ConfigurationRegistry} is the entry point. Commands,
 * results and the snapshot are records; the node serialises them.
 */
package org.primrosegauge.core.registry;
