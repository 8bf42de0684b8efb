package org.primrosegauge.node.security;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.primrosegauge.core.PrimrosegaugeException;
import org.primrosegauge.core.security.Authenticator;
import org.primrosegauge.core.security.TokenDigest;
import org.primrosegauge.core.security.TokenTable;
import org.primrosegauge.core.settings.SettingFault;
import org.primrosegauge.core.settings.SettingsException;
import org.primrosegauge.node.reload.ReloadingFiles;

class TokensFileTest {

  @TempDir private Path folder;

  @Test
  void reloadsAndKeepsTheLastGoodTable() throws IOException, PrimrosegaugeException {
    Path file = folder.resolve("tokens.toml");
    Files.writeString(file, entry("desk", "old", "operator"));
    ReloadingFiles<TokenTable> tokens = TokensFile.open(file);
    Authenticator authenticator = TokensFile.authenticator(tokens);

    assertThat(authenticator.authenticate("Bearer old").name()).isEqualTo("desk");
    assertThat(tokens.check()).isFalse();

    Files.writeString(file, "tokens = 3");
    assertThrows(SettingsException.class, tokens::check);
    assertThat(authenticator.authenticate("Bearer old").name()).isEqualTo("desk");

    Files.writeString(file, entry("desk", "new", "customer:dealers"));
    assertThat(tokens.check()).isTrue();
    assertThat(authenticator.authenticate("Bearer new").name()).isEqualTo("desk");
    assertThrows(PrimrosegaugeException.class, () -> authenticator.authenticate("Bearer old"));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "sha256 = 's3cret'      | WRONG_TYPE   | tokens[].sha256",
        "scopes = ['root']      | OUT_OF_RANGE | tokens[].scopes",
        "scopes = 'operator'    | WRONG_TYPE   | tokens[].scopes",
        "secret = 's3cret'      | UNKNOWN_KEY  | tokens[].secret",
        "name = 'A'             | OUT_OF_RANGE | tokens[].name",
      })
  void refusesWithoutShowingTheToken(String line, SettingFault.Kind kind, String key) {
    SettingsException error =
        assertThrows(
            SettingsException.class,
            () -> TokensFile.read("tokens.toml", "[[tokens]]\n" + line + "\n"));

    assertThat(
            error.faults().stream()
                .anyMatch(fault -> fault.kind() == kind && fault.key().equals(key)))
        .isTrue();
    assertThat(error).hasMessageThat().doesNotContain("s3cret");
  }

  @Test
  void refusesTheSameTokenTwice() {
    String text = entry("a", "same", "operator") + entry("b", "same", "target");
    SettingsException error =
        assertThrows(SettingsException.class, () -> TokensFile.read("tokens.toml", text));

    assertThat(error.faults().get(0).kind()).isEqualTo(SettingFault.Kind.DUPLICATE);
  }

  private static String entry(String name, String token, String scope) {
    return "[[tokens]]\nname = \"%s\"\nsha256 = \"%s\"\nscopes = [\"%s\"]\n"
        .formatted(name, TokenDigest.ofToken(token).hex(), scope);
  }
}
