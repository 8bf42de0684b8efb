package org.primrosegauge.node.cfg;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.file.Path;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.primrosegauge.core.HostPort;
import org.primrosegauge.core.settings.SettingFault;
import org.primrosegauge.core.settings.SettingsException;

class NodeSettingsReaderTest {

  private static final Path BASE = Path.of("conf");

  private static final String SMALLEST =
      """
      instance = { id = "west-1", region = "great-lakes", failure-domain = "lakes-west" }
      http = { listen = "127.0.0.1:7300" }
      peer = { listen = "127.0.0.1:7400" }
      tls = { enabled = false }
      """;

  @Test
  void takesDocumentedDefaults() throws SettingsException {
    NodeSettings settings = NodeSettingsReader.read("node.toml", SMALLEST, BASE);

    assertThat(settings.timeouts()).isEqualTo(TimeoutSettings.DEFAULT);
    assertThat(settings.limits()).isEqualTo(LimitSettings.DEFAULT);
    assertThat(settings.logLevel()).isEqualTo(LogLevel.INFO);
    assertThat(settings.http().advertised()).isEqualTo(new HostPort("127.0.0.1", 7300));
    assertThat(settings.instance().dataFolder()).isEqualTo(Optional.empty());
  }

  @Test
  void readsEveryTable() throws SettingsException {
    String text =
        """
        [instance]
        id = "west-1"
        region = "great-lakes"
        failure-domain = "lakes-west"
        voter = true
        data-folder = "data"
        [http]
        listen = "0.0.0.0:7300"
        advertised = "10.0.0.1:7300"
        [peer]
        listen = "[::1]:7400"
        [[peers]]
        id = "west-1"
        failure-domain = "lakes-west"
        address = "[::1]:7400"
        voter = true
        [[peers]]
        id = "east-1"
        failure-domain = "lakes-east"
        address = "10.0.1.1:7400"
        [timeouts]
        lease = "3s"
        [limits]
        frame = "1MiB"
        [tls]
        certificate = "tls/cert.pem"
        key = "tls/key.pem"
        trust = "tls/trust.pem"
        [tokens]
        file = "tokens.toml"
        [log]
        level = "debug"
        """;

    NodeSettings settings = NodeSettingsReader.read("node.toml", text, BASE);

    assertThat(settings.instance().dataFolder()).isEqualTo(Optional.of(Path.of("conf/data")));
    assertThat(settings.peers()).hasSize(1);
    assertThat(settings.peers().get(0).id().value()).isEqualTo("east-1");
    assertThat(settings.timeouts().leaseMillis()).isEqualTo(3_000);
    assertThat(settings.limits().frameBytes()).isEqualTo(1_024 * 1_024);
    assertThat(settings.tls().trust()).isEqualTo(Optional.of(Path.of("conf/tls/trust.pem")));
    assertThat(settings.tokensFile()).isEqualTo(Optional.of(Path.of("conf/tokens.toml")));
    assertThat(settings.logLevel()).isEqualTo(LogLevel.DEBUG);
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "timeouts = { lease = '64MiB' }           | WRONG_UNIT    | timeouts.lease",
        "timeouts = { lease = 2000 }              | WRONG_UNIT    | timeouts.lease",
        "timeouts = { lease = '2h' }              | OUT_OF_RANGE  | timeouts.lease",
        "timeouts = { lease = '500ms' }           | CLASH         | timeouts.lease",
        "timeouts = { election = '200ms' }        | CLASH         | timeouts.election",
        "timeouts = { leese = '2s' }              | UNKNOWN_KEY   | timeouts.leese",
        "limits = { ring-events = '4096' }        | WRONG_TYPE    | limits.ring-events",
        "limits = { ring-events = 1 }             | OUT_OF_RANGE  | limits.ring-events",
        "log = { level = 'loud' }                 | OUT_OF_RANGE  | log.level",
        "logs = { level = 'info' }                | UNKNOWN_KEY   | logs",
        "log = 'info'                             | WRONG_TYPE    | log",
        "tokens = { file = 3 }                    | WRONG_TYPE    | tokens.file",
        "peers = [ { id = 'a' } ]                 | MISSING       | peers[].address",
        "tls = { enabled = false }                | DUPLICATE     | ''",
        "log = {                                  | SYNTAX        | ''",
        "peers = [ { id = 'west-1', failure-domain = 'x', address = '10.0.0.1:7400' } ]"
            + " | CLASH | peers[].id",
        "peers = [ { id = 'b', failure-domain = 'x', address = '127.0.0.1:7400' } ]"
            + " | DUPLICATE | peers[].address",
        "peers = [ { id = 'b', failure-domain = 'x', address = '10.0.0.1' } ]"
            + " | WRONG_TYPE | peers[].address",
      })
  void refusesWithKindLineAndKey(String line, SettingFault.Kind kind, String key) {
    SettingsException error = refused(SMALLEST + line + "\n");

    SettingFault fault =
        error.faults().stream()
            .filter(each -> each.kind() == kind && each.key().equals(key))
            .findFirst()
            .orElseThrow(() -> new AssertionError(error));
    assertThat(fault.location()).isEqualTo("node.toml:5");
    assertThat(fault.remedy()).isNotEmpty();
  }

  @Test
  void namesAllFaultsInTheOrderOfTheFile() {
    String text =
        """
        [instance]
        id = "West"
        voter = true
        [http]
        listen = "7300"
        [log]
        level = 3
        """;

    SettingsException error = refused(text);

    assertThat(error.faults().stream().map(SettingFault::key).toList())
        .containsExactly(
            "peer.listen",
            "tls.certificate",
            "tls.key",
            "tls.trust",
            "instance.region",
            "instance.failure-domain",
            "instance.id",
            "instance.voter",
            "http.listen",
            "log.level");
    assertThat(error).hasMessageThat().contains("node.toml:2: instance.id: 'West' is no id");
  }

  @Test
  void refusesAnEighthVoter() {
    StringBuilder text = new StringBuilder(SMALLEST);
    for (int index = 0; index < NodeSettingsReader.MAX_VOTERS + 1; index++) {
      text.append("[[peers]]\nfailure-domain = \"x\"\nvoter = true\n")
          .append("id = \"v" + index + "\"\naddress = \"10.0.0." + index + ":7400\"\n");
    }

    assertThat(refused(text.toString()).faults().get(0).key()).isEqualTo("peers[].voter");
  }

  private static SettingsException refused(String text) {
    return assertThrows(
        SettingsException.class, () -> NodeSettingsReader.read("node.toml", text, BASE));
  }
}
