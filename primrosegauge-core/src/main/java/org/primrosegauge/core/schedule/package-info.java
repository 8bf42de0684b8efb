/**
 * Scheduling of gangs within one failure domain: a pure state machine that takes events and returns
 * actions for workers and for the owner of the jobs.
 */
package org.primrosegauge.core.schedule;
