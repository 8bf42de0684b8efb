package org.primrosegauge.operator.examples;

import java.time.Duration;
import org.primrosegauge.core.settings.SettingsException;
import org.primrosegauge.operator.DomainParts;
import org.primrosegauge.operator.Site;

/**
 * The site of Minyak Hijau Kutipan: four failure domains with workers in racks of six.
 *
 * @since 0.1
 */
public final class MinyakHijauSite {

  private static final String SERVICE = "kutipan-core";

  private MinyakHijauSite() {}

  /**
   * Prints the site.
   *
   * @throws SettingsException when the site has faults
   * @since 0.1
   */
  public static void main(String[] args) throws SettingsException {
    System.out.print(site().toToml());
  }

  /**
   * Returns the site.
   *
   * @since 0.1
   */
  public static Site site() {
    Site site =
        Site.named("minyak-hijau")
            .region(
                "semenanjung",
                region ->
                    region
                        .failureDomain("klang", domain -> sized(domain, 9))
                        .failureDomain("penang", domain -> sized(domain, 7))
                        .failureDomain("johor", domain -> sized(domain, 7))
                        .failureDomain("kuantan", domain -> sized(domain, 7)))
            .customer("hotel-kitchens", holder -> holder.atMostAccelerators(160).requestShare(4))
            .customer("food-courts", holder -> holder.atMostAccelerators(128).requestShare(4))
            .customer("mamak-stalls", holder -> holder.atMostAccelerators(64).requestShare(2))
            .customer("biodiesel-buyers", holder -> holder.atMostAccelerators(32))
            .service(
                SERVICE,
                service ->
                    service
                        .slotsPerExecutor(8)
                        .connectionsPerExecutor(60)
                        .timeout(Duration.ofSeconds(30)));
    return guarantees(site);
  }

  private static Site guarantees(Site site) {
    return site.guarantee(
            "hotel-kitchens", "klang", shape -> shape.blocks(2).ofAccelerators(16).inOneRack())
        .guarantee("hotel-kitchens", "penang", shape -> shape.ofAccelerators(16).inOneRack())
        .guarantee("hotel-kitchens", "johor", shape -> shape.ofAccelerators(16).inOneRack())
        .guarantee("food-courts", "klang", shape -> shape.ofAccelerators(8))
        .guarantee("food-courts", "penang", shape -> shape.ofAccelerators(16).inOneRack())
        .guarantee("food-courts", "kuantan", shape -> shape.ofAccelerators(32).inOneRack())
        .guarantee("mamak-stalls", "klang", shape -> shape.blocks(2).ofAccelerators(4))
        .guarantee("mamak-stalls", "johor", shape -> shape.blocks(2).ofAccelerators(4))
        .guarantee("mamak-stalls", "kuantan", shape -> shape.blocks(2).ofAccelerators(4))
        .guarantee("biodiesel-buyers", "klang", shape -> shape.blocks(2).ofAccelerators(2))
        .guarantee("biodiesel-buyers", "johor", shape -> shape.ofAccelerators(8));
  }

  private static DomainParts sized(DomainParts domain, int workers) {
    return domain
        .workers(workers)
        .inRacksOf(6)
        .withAccelerators(8)
        .withCores(64)
        .withMemoryGib(250);
  }
}
