/**
 * Replicated log of an instance: its threads, its storage, and access to the registry from any
 * instance.
 */
package org.primrosegauge.node.log;
