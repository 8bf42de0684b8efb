package org.primrosegauge.core.site;

/**
 * Names one key of one entry of a site configuration, so that a fault can be shown at the line of
 * the file that it came from.
 *
 * @param section section of the configuration
 * @param entry name of the entry within the section, see {@link Section}
 * @param occurrence 0 for the first entry of that name, 1 for the second, and so on
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
     * Returns the name of the section in a file.
     *
     * @since 0.1
     */
    public String label() {
      return label;
    }
  }

  /**
   * Returns the name of a guarantee: holder, domain, and form of its blocks.
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
   * Returns the qualified name of the key.
   *
   * @since 0.1
   */
  public String qualifiedKey() {
    return section.label() + "[]." + key;
  }
}
