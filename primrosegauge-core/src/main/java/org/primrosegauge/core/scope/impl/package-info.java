/** Implementation of the scope scheduler. */
package org.primrosegauge.core.scope.impl;
