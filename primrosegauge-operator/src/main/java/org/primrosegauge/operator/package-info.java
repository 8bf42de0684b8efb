/** Library with which operators describe a site in their own words and print its configuration. */
package org.primrosegauge.operator;
