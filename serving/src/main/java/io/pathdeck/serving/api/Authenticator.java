package io.pathdeck.serving.api;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.pathdeck.protocol.model.TenantSpec;
import io.pathdeck.serving.config.ConfigurationView;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Optional;

/** Finds the tenant of a request by its key. Only hashes of keys are known to the system. */
public final class Authenticator {
  private static final String BEARER = "Bearer ";

  private Authenticator() {}

  /** The tenant whose key the request carries. */
  public static Optional<TenantSpec> authenticate(
      HttpHeaders headers, ConfigurationView configuration) {
    String authorization = headers.get(HttpHeaderNames.AUTHORIZATION);
    if (authorization == null || !authorization.startsWith(BEARER)) {
      return Optional.empty();
    }
    String key = authorization.substring(BEARER.length()).trim();
    return configuration.tenantByKeyHash(hash(key));
  }

  /** The SHA-256 of a key in hex, as declared in the configuration. */
  public static String hash(String key) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      return HexFormat.of().formatHex(digest.digest(key.getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }
}
