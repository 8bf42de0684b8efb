/**
 * The site as operators configure it: regions, failure domains, customers, guarantees, services.
 */
package org.primrosegauge.core.site;
