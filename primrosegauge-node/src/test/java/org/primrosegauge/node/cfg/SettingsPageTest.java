package org.primrosegauge.node.cfg;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.primrosegauge.core.settings.SettingKey;
import org.primrosegauge.core.settings.SettingsPage;
import org.primrosegauge.node.security.TokensFile;
import org.primrosegauge.wire.toml.SiteKeys;

/** The committed settings page says what the tables of keys say. */
class SettingsPageTest {

  private static final Path PAGE = Path.of("..", "docs", "SETTINGS.md");

  @Test
  void pageHasTheTablesOfTheProcess() throws IOException {
    assertHas(NodeKeys.ALL);
  }

  @Test
  void pageHasTheTablesOfTheSite() throws IOException {
    assertHas(SiteKeys.ALL);
  }

  @Test
  void pageHasTheTableOfTheTokens() throws IOException {
    assertHas(TokensFile.KEYS);
  }

  private static void assertHas(List<SettingKey> keys) throws IOException {
    assertThat(Files.readString(PAGE)).contains(SettingsPage.render(keys));
  }
}
