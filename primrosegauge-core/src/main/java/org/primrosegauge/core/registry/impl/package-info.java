/** Internals of the registry; not part of the API. */
package org.primrosegauge.core.registry.impl;
