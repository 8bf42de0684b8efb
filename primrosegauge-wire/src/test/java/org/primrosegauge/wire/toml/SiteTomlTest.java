package org.primrosegauge.wire.toml;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.primrosegauge.core.settings.SettingFault;
import org.primrosegauge.core.settings.SettingsException;
import org.primrosegauge.core.site.SiteConfiguration;

class SiteTomlTest {

  private static final String SITE =
      """
      [[regions]]
      id = "great-lakes"

      [[failure-domains]]
      id = "lakes-west"
      region = "great-lakes"
      workers = 10
      workers-per-rack = 8
      accelerators-per-worker = 8
      cores-per-worker = 64
      memory-per-worker = "130GiB"

      [[customers]]
      id = "co-op"
      quota-accelerators = 40
      request-share = 2

      [[guarantees]]
      customer = "co-op"
      failure-domain = "lakes-west"
      blocks = 2
      accelerators-per-block = 16
      adjacency = "rack"

      [[services]]
      id = "bulletin-svc"
      max-body = "1MiB"
      timeout = "30s"
      max-queued = 256
      retry-percent = 10
      executor-slots = 8
      executor-connections = 60
      """;

  @Test
  void printsWhatItRead() throws SettingsException {
    assertThat(SiteTomlWriter.write(SiteTomlReader.read("site.toml", SITE))).isEqualTo(SITE);
  }

  @Test
  void readsAnEmptySite() throws SettingsException {
    assertThat(SiteTomlReader.read("site.toml", "")).isEqualTo(SiteConfiguration.EMPTY);
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "id = \"co-op\"           | id = \"Co-op\"           | 14 | OUT_OF_RANGE",
        "id = \"co-op\"           | id = \"farm\"            | 19 | UNKNOWN_REFERENCE",
        "failure-domain = \"lakes-west\" | failure-domain = \"lakes\" | 20 | UNKNOWN_REFERENCE",
        "region = \"great-lakes\" | region = \"lakes\"       |  6 | UNKNOWN_REFERENCE",
        "region = \"great-lakes\" | region = \"lakes\"       |  2 | CLASH",
        "workers = 10             | workers = 0              |  7 | OUT_OF_RANGE",
        "workers = 10             | wrokers = 10             |  7 | UNKNOWN_KEY",
        "workers = 10             | workers = 3              | 21 | OVER_CAPACITY",
        "accelerators-per-block = 16 | accelerators-per-block = 65 | 22 | OVER_CAPACITY",
        "memory-per-worker = \"130GiB\" | memory-per-worker = \"130s\" | 11 | WRONG_UNIT",
        "memory-per-worker = \"130GiB\" | memory-per-worker = \"1048577B\" | 11 | OUT_OF_RANGE",
        "quota-accelerators = 40  | quota-accelerators = 31  | 15 | CLASH",
        "blocks = 2               | blocks = 640000          | 21 | OVER_CAPACITY",
        "adjacency = \"rack\"     | adjacency = \"row\"      | 23 | OUT_OF_RANGE",
        "request-share = 2        | request-share = 2\\nrequest-share = 3 | 17 | DUPLICATE",
        "[[services]]             | [[customers]]\\nid = \"co-op\"\\n[[services]] | 26 | DUPLICATE",
        "[[services]]             | [[serices]]              | 25 | UNKNOWN_KEY",
      })
  void refusesWithLineAndKind(String line, String broken, int number, SettingFault.Kind kind) {
    String text = SITE.replace(line, broken.replace("\\n", "\n"));
    SettingsException error =
        assertThrows(SettingsException.class, () -> SiteTomlReader.read("site.toml", text));

    assertThat(
            error.faults().stream()
                .filter(fault -> fault.kind() == kind)
                .map(SettingFault::location)
                .toList())
        .contains("site.toml:" + number);
  }

  @Test
  void namesFaultsOfAllEntriesAtOnce() {
    String text = SITE.replace("workers = 10", "workers = 0").replace("30s", "30") + SITE;
    SettingsException error =
        assertThrows(SettingsException.class, () -> SiteTomlReader.read("site.toml", text));

    assertThat(error.faults().stream().map(SettingFault::kind).toList())
        .containsExactly(
            SettingFault.Kind.OUT_OF_RANGE,
            SettingFault.Kind.WRONG_UNIT,
            SettingFault.Kind.DUPLICATE,
            SettingFault.Kind.DUPLICATE,
            SettingFault.Kind.DUPLICATE,
            SettingFault.Kind.DUPLICATE,
            SettingFault.Kind.DUPLICATE);
  }
}
