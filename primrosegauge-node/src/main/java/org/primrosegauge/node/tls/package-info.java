/** TLS towards callers, operators, targets and other instances, from PEM files. */
package org.primrosegauge.node.tls;
