/** Internals of the codecs. Not part of the public interface. */
package org.primrosegauge.wire.impl;
