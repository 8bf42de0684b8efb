/** Jobs as callers see them: finding the keeper that decides, and the HTTP interface. */
package org.primrosegauge.node.job;
