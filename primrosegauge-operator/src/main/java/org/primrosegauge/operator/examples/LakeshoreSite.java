package org.primrosegauge.operator.examples;

import java.time.Duration;
import org.primrosegauge.core.settings.SettingsException;
import org.primrosegauge.operator.DomainParts;
import org.primrosegauge.operator.Site;

/**
 * The site of the Lakeshore Fertiliser Dealers Association: three failure domains with workers in
 * racks of eight.
 *
 * @since 0.1
 */
public final class LakeshoreSite {

  private static final String SERVICE = "bulletin-svc";

  private LakeshoreSite() {}

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
        Site.named("lakeshore")
            .region(
                "great-lakes",
                region ->
                    region
                        .failureDomain("lakes-west", LakeshoreSite::sized)
                        .failureDomain("lakes-central", LakeshoreSite::sized)
                        .failureDomain("lakes-east", LakeshoreSite::sized))
            .customer("member-dealers", holder -> holder.atMostAccelerators(160).requestShare(4))
            .customer("co-op-buyers", holder -> holder.atMostAccelerators(128).requestShare(4))
            .customer("farm-lenders", holder -> holder.atMostAccelerators(64).requestShare(2))
            .customer("price-desk", holder -> holder.atMostAccelerators(32))
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
            "member-dealers", "lakes-west", shape -> shape.ofAccelerators(32).inOneRack())
        .guarantee("member-dealers", "lakes-central", shape -> shape.ofAccelerators(32).inOneRack())
        .guarantee("co-op-buyers", "lakes-east", shape -> shape.ofAccelerators(32).inOneRack())
        .guarantee("co-op-buyers", "lakes-west", shape -> shape.ofAccelerators(16).inOneRack())
        .guarantee("farm-lenders", "lakes-east", shape -> shape.blocks(2).ofAccelerators(8))
        .guarantee("farm-lenders", "lakes-central", shape -> shape.blocks(2).ofAccelerators(4))
        .guarantee("price-desk", "lakes-west", shape -> shape.blocks(4).ofAccelerators(2))
        .guarantee("price-desk", "lakes-east", shape -> shape.blocks(4).ofAccelerators(2));
  }

  private static DomainParts sized(DomainParts domain) {
    return domain.workers(10).inRacksOf(8).withAccelerators(8).withCores(64).withMemoryGib(130);
  }
}
