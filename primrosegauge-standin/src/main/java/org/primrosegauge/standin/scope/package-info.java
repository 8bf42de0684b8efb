/** A scope of several failure domains in virtual time: the real decisions, emulated workers. */
package org.primrosegauge.standin.scope;
