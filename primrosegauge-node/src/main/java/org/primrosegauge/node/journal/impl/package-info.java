/** Internals of the journal; no part of the API. */
package org.primrosegauge.node.journal.impl;
