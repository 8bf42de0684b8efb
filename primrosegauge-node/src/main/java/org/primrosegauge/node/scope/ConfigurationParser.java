package org.primrosegauge.node.scope;

import org.primrosegauge.core.InvalidInputException;
import org.primrosegauge.core.scope.ScopeConfiguration;

/**
 * Parses the text of a configuration. Equal texts give equal configurations, since each replica
 * parses the text that the log holds.
 *
 * @since 0.4
 */
@FunctionalInterface
public interface ConfigurationParser {

  /**
   * Parses a configuration.
   *
   * @throws InvalidInputException if the text is not a valid configuration
   * @since 0.4
   */
  ScopeConfiguration parse(String content) throws InvalidInputException;
}
