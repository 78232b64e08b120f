package io.pathdeck.common.settings;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** PEM files for mutual TLS between processes; all null for plain TCP on loopback. */
public record TlsSettings(Path certificate, Path key, Path authority) {

  /** Reads the optional keys {@code tls_certificate}, {@code tls_key} and {@code tls_authority}. */
  public static TlsSettings read(SettingsReader reader) {
    return new TlsSettings(
        reader.optionalPath("tls_certificate"),
        reader.optionalPath("tls_key"),
        reader.optionalPath("tls_authority"));
  }

  /** Whether TLS is configured. */
  public boolean isEnabled() {
    return certificate != null;
  }

  /** Reports incomplete files, and addresses that need TLS. */
  public void check(SettingsReader reader, List<HostPort> addresses) {
    boolean complete = certificate != null && key != null && authority != null;
    boolean absent = certificate == null && key == null && authority == null;
    if (!complete && !absent) {
      reader.problem("tls_certificate", "expected all of tls_certificate, tls_key, tls_authority");
    }
    if (complete) {
      checkReadable(reader, "tls_certificate", certificate);
      checkReadable(reader, "tls_key", key);
      checkReadable(reader, "tls_authority", authority);
    }
    for (HostPort address : addresses) {
      if (absent && !address.isLoopback()) {
        reader.problem("tls_certificate", "required because " + address + " is not loopback");
        return;
      }
    }
  }

  private static void checkReadable(SettingsReader reader, String name, Path file) {
    if (!Files.isReadable(file)) {
      reader.problem(name, "expected a readable file, found " + file);
    }
  }
}
