/** Implementation of the replicated log. Not part of the API. */
package org.primrosegauge.core.log.impl;
