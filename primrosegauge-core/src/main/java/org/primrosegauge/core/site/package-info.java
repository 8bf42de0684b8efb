/** Configuration model of a site: regions, failure domains, customers, guarantees, services. */
package org.primrosegauge.core.site;
