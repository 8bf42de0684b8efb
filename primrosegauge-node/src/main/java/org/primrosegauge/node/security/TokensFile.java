package org.primrosegauge.node.security;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.primrosegauge.core.InvalidInputException;
import org.primrosegauge.core.PrimrosegaugeException;
import org.primrosegauge.core.security.Authenticator;
import org.primrosegauge.core.security.Caller;
import org.primrosegauge.core.security.Scope;
import org.primrosegauge.core.security.TokenDigest;
import org.primrosegauge.core.security.TokenTable;
import org.primrosegauge.core.settings.SettingFault;
import org.primrosegauge.core.settings.SettingKey;
import org.primrosegauge.core.settings.SettingType;
import org.primrosegauge.core.settings.SettingsException;
import org.primrosegauge.node.reload.ReloadingFiles;
import org.primrosegauge.wire.toml.TomlFile;
import org.primrosegauge.wire.toml.TomlSection;

/**
 * Reads the tokens file. It holds digests only, so that a copy of it lets nobody in.
 *
 * <p>Stateless and thread-safe.
 *
 * @since 0.1
 */
public final class TokensFile {

  private static final SettingKey NAME =
      SettingKey.of("tokens[]", "name", SettingType.ID, "name for logs and the history")
          .withRequired();
  private static final SettingKey DIGEST =
      SettingKey.of("tokens[]", "sha256", SettingType.TEXT, "SHA-256 of the token, hexadecimal")
          .withRequired();
  private static final SettingKey SCOPES =
      SettingKey.of(
              "tokens[]", "scopes", SettingType.WORDS, "operator, customer:ID, target or peer")
          .withRequired();

  /** Every key of the tokens file, in the order of the settings page. */
  public static final List<SettingKey> KEYS = List.of(NAME, DIGEST, SCOPES);

  private TokensFile() {}

  /**
   * Opens a tokens file that is read again when it changes.
   *
   * @throws PrimrosegaugeException when it cannot be read or is faulty
   * @since 0.1
   */
  public static ReloadingFiles<TokenTable> open(Path file) throws PrimrosegaugeException {
    return ReloadingFiles.open(List.of(file), () -> read(file));
  }

  /**
   * Returns the authenticator over a reloading table.
   *
   * @since 0.1
   */
  public static Authenticator authenticator(ReloadingFiles<TokenTable> tokens) {
    return header -> Authenticator.authenticate(tokens.current(), header);
  }

  /**
   * Reads a text.
   *
   * @param name name of the file, for the faults
   * @throws SettingsException with every fault that was found
   * @since 0.1
   */
  public static TokenTable read(String name, String text) throws SettingsException {
    TomlFile file = TomlFile.parse(name, text, KEYS);
    List<TokenTable.Grant> grants = new ArrayList<>();
    Set<String> names = new HashSet<>();
    Set<String> digests = new HashSet<>();
    for (TomlSection section : file.entries("tokens")) {
      Optional<String> holder = section.id(NAME);
      Optional<TokenDigest> digest = digest(section);
      Set<Scope> scopes = scopes(section);
      holder.ifPresent(value -> checkUnique(section, NAME, names, value));
      digest.ifPresent(value -> checkUnique(section, DIGEST, digests, value.hex()));
      if (holder.isPresent() && digest.isPresent()) {
        grants.add(new TokenTable.Grant(digest.get(), new Caller(holder.get(), scopes)));
      }
    }
    file.finish();
    return new TokenTable(grants);
  }

  private static TokenTable read(Path file) throws PrimrosegaugeException {
    try {
      return read(file.toString(), Files.readString(file));
    } catch (IOException e) {
      throw new InvalidInputException(
          "the tokens file cannot be read",
          "make it a readable file of UTF-8 text",
          file.toString(),
          e);
    }
  }

  private static Optional<TokenDigest> digest(TomlSection section) {
    Optional<String> text = section.text(DIGEST);
    Optional<TokenDigest> digest = text.flatMap(TokenDigest::parse);
    if (text.isPresent() && digest.isEmpty()) {
      // The value is not shown: it may be the token itself, put here by mistake.
      section.report(
          DIGEST,
          SettingFault.Kind.WRONG_TYPE,
          "not a SHA-256 digest",
          "write 64 hexadecimal digits, as printf %s TOKEN | sha256sum prints them");
    }
    return digest;
  }

  private static Set<Scope> scopes(TomlSection section) {
    Set<Scope> scopes = new HashSet<>();
    for (String word : section.words(SCOPES)) {
      Optional<Scope> scope = Scope.parse(word);
      scope.ifPresent(scopes::add);
      if (scope.isEmpty()) {
        section.report(
            SCOPES,
            SettingFault.Kind.OUT_OF_RANGE,
            "'" + word + "' is no scope",
            "use operator, customer:ID, target or peer");
      }
    }
    return scopes;
  }

  private static void checkUnique(
      TomlSection section, SettingKey key, Set<String> seen, String value) {
    if (!seen.add(value)) {
      section.report(
          key,
          SettingFault.Kind.DUPLICATE,
          "the same " + key.name() + " stands twice",
          "remove one of the two entries");
    }
  }
}
