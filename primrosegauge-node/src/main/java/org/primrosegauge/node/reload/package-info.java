/** Files that are read again while the process runs. */
package org.primrosegauge.node.reload;
