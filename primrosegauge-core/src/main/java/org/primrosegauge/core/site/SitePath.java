package org.primrosegauge.core.site;

/**
 * Identifies a key of an entry in a site configuration, so that a validation error can be reported
 * with the line of the file that caused it.
 *
 * @param section section of the configuration
 * @param entry name of the entry within the section, see {@link Section}
 * @param occurrence zero-based index among the entries of the same name
 * @param key key of the entry
 * @since 0.1
 */
public record SitePath(Section section, String entry, int occurrence, String key) {

  /** Sections of a site configuration. */
  public enum Section {
    /** Regions, named by their id. */
    REGIONS("regions"),
    /** Failure domains, named by their id. */
    FAILURE_DOMAINS("failure-domains"),
    /** Customers, named by their id. */
    CUSTOMERS("customers"),
    /** Guarantees, named by {@link SitePath#guaranteeName}. */
    GUARANTEES("guarantees"),
    /** Services, named by their id. */
    SERVICES("services");

    private final String label;

    Section(String label) {
      this.label = label;
    }

    /**
     * Returns the name of the section in a configuration file.
     *
     * @since 0.1
     */
    public String label() {
      return label;
    }
  }

  /**
   * Returns the name of a guarantee: customer, domain, block size and adjacency.
   *
   * @since 0.1
   */
  public static String guaranteeName(Guarantee guarantee) {
    BlockShape shape = guarantee.shape();
    return guarantee.customer()
        + "/"
        + guarantee.domain()
        + "/"
        + shape.acceleratorsPerBlock()
        + "/"
        + shape.adjacency();
  }

  /**
   * Returns the key qualified with its section, such as {@code customers[].id}.
   *
   * @since 0.1
   */
  public String qualifiedKey() {
    return section.label() + "[]." + key;
  }
}
