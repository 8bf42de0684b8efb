/** Internals of the registry; no part of the API. */
package org.primrosegauge.core.registry.impl;
