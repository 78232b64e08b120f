package io.pathdeck.protocol.transport;

import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import java.nio.file.Path;
import java.util.Optional;
import javax.net.ssl.SSLException;

/**
 * Mutual TLS between processes: every process presents a certificate that the common authority
 * signed. Empty contexts mean plain TCP, which settings allow on loopback only.
 */
public record TransportTls(Optional<SslContext> server, Optional<SslContext> client) {
  /** Plain TCP. */
  public static final TransportTls NONE = new TransportTls(Optional.empty(), Optional.empty());

  /** Loads PEM files. */
  public static TransportTls load(Path certificate, Path key, Path authority) throws SSLException {
    SslContext server =
        SslContextBuilder.forServer(certificate.toFile(), key.toFile())
            .trustManager(authority.toFile())
            .clientAuth(ClientAuth.REQUIRE)
            .build();
    SslContext client =
        SslContextBuilder.forClient()
            .keyManager(certificate.toFile(), key.toFile())
            .trustManager(authority.toFile())
            .build();
    return new TransportTls(Optional.of(server), Optional.of(client));
  }
}
