/** The tokens file. */
package org.primrosegauge.node.security;
