package org.primrosegauge.operator;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.stream.Stream;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.primrosegauge.core.settings.SettingsException;
import org.primrosegauge.core.site.SiteConfiguration;
import org.primrosegauge.operator.examples.LakeshoreSite;
import org.primrosegauge.operator.examples.MinyakHijauSite;
import org.primrosegauge.wire.toml.SiteTomlReader;
import org.primrosegauge.wire.toml.SiteTomlWriter;

class SiteTest {

  static Stream<Arguments> examples() {
    return Stream.of(
        Arguments.of("minyak-hijau.toml", MinyakHijauSite.site()),
        Arguments.of("lakeshore.toml", LakeshoreSite.site()));
  }

  @ParameterizedTest
  @MethodSource("examples")
  void committedExampleIsWhatTheProgramPrints(String file, Site site)
      throws IOException, SettingsException {
    assertThat(site.toToml()).isEqualTo(Files.readString(Path.of("..", "examples", file)));
  }

  @Test
  void namesAllFaultsOfTheSite() {
    Site site =
        Site.named("broken")
            .region("lakes", region -> region.failureDomain("west", domain -> domain.workers(1)))
            .guarantee("nobody", "east", shape -> shape.ofAccelerators(8));

    SettingsException error = assertThrows(SettingsException.class, site::toToml);

    assertThat(error.faults()).hasSize(6);
    assertThat(error).hasMessageThat().contains("site broken, 'west': ");
    assertThat(error).hasMessageThat().contains("no customer 'nobody'");
  }

  @Property(seed = "4201", tries = 500)
  void printsWhatConfigCheckReadsBackUnchanged(@ForAll("sites") Site site)
      throws SettingsException {
    String toml = site.toToml();
    SiteConfiguration read = SiteTomlReader.read("site.toml", toml);

    assertThat(read).isEqualTo(site.build());
    assertThat(SiteTomlWriter.write(read)).isEqualTo(toml);
  }

  @Provide
  Arbitrary<Site> sites() {
    Arbitrary<String> ids =
        Arbitraries.strings().withChars("abc019._-").ofMinLength(1).ofMaxLength(9);
    Arbitrary<List<String>> names = ids.map("x"::concat).list().uniqueElements().ofSize(4);
    Arbitrary<Integer> numbers = Arbitraries.integers().between(1, 40);
    return Combinators.combine(names, numbers, numbers, Arbitraries.integers().between(0, 100))
        .as(SiteTest::site);
  }

  private static Site site(List<String> names, int workers, int other, int percent) {
    return Site.named("any")
        .region(
            names.get(0),
            region -> region.failureDomain(names.get(1), d -> domain(d, workers, other)))
        .customer(names.get(2), holder -> holder.requestShare(other))
        .customer(names.get(3))
        .guarantee(names.get(3), names.get(1), shape -> shape.ofAccelerators(workers).anywhere())
        .guarantee(names.get(2), names.get(1), shape -> shape.blocks(workers).ofAccelerators(1))
        .service(
            names.get(0),
            service ->
                service
                    .bodiesUpToKib(workers * other)
                    .timeout(Duration.ofMillis(workers * 500L))
                    .queueUpTo(other)
                    .retryPercent(percent)
                    .slotsPerExecutor(workers)
                    .connectionsPerExecutor(other));
  }

  private static DomainParts domain(DomainParts domain, int workers, int other) {
    return domain
        .workers(workers)
        .inRacksOf(other)
        .withAccelerators(2)
        .withCores(other)
        .withMemoryGib(other);
  }
}
