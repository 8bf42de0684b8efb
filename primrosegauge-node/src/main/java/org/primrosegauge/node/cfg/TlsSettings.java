package org.primrosegauge.node.cfg;

import java.nio.file.Path;
import java.util.Optional;

/**
 * Files for TLS, in PEM. All three are present when TLS is on.
 *
 * @param enabled whether connections are encrypted and instances prove their id
 * @param certificate certificate chain of this instance
 * @param key private key of the certificate, PKCS 8 without a password
 * @param trust certificates of the authorities that peers' certificates are checked against
 * @since 0.1
 */
public record TlsSettings(
    boolean enabled, Optional<Path> certificate, Optional<Path> key, Optional<Path> trust) {

  /** No encryption; for a site on one machine. */
  public static final TlsSettings OFF =
      new TlsSettings(false, Optional.empty(), Optional.empty(), Optional.empty());
}
