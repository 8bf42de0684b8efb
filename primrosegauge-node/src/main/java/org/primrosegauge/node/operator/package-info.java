/** Operators' interface over HTTP: configuration, failure domains, targets, instances, status. */
package org.primrosegauge.node.operator;
