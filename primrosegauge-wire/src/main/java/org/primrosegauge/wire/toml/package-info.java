/** Reads settings files in TOML against a table of keys, and the site configuration both ways. */
package org.primrosegauge.wire.toml;
