/** The entry instance: adapters that connect the core to sockets, disks, clocks and logs. */
package org.primrosegauge.node;
