/** Programs that print the sites in the folder {@code examples}. */
package org.primrosegauge.operator.examples;
