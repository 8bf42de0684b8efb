/** Parts of the request router. Not for use outside {@code org.primrosegauge.core.request}. */
package org.primrosegauge.core.request.impl;
