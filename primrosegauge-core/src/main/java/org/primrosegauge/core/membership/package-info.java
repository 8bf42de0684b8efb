/** Which instances exist, which are heard of, and what each has reported about itself. */
package org.primrosegauge.core.membership;
