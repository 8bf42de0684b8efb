/**
 * Settings as data: the table of keys that documents and checks a settings file, typed faults, and
 * quantities with units.
 */
package org.primrosegauge.core.settings;
