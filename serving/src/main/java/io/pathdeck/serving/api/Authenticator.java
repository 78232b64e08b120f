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

/** Finds the tenant of a request by its API key; the configuration holds only hashes of keys. */
public final class Authenticator {
  private static final String BEARER = "Bearer ";

  private Authenticator() {}

  /** Returns the tenant of the bearer token, if known. */
  public static Optional<TenantSpec> authenticate(
      HttpHeaders headers, ConfigurationView configuration) {
    String authorization = headers.get(HttpHeaderNames.AUTHORIZATION);
    if (authorization == null || !authorization.startsWith(BEARER)) {
      return Optional.empty();
    }
    String key = authorization.substring(BEARER.length()).trim();
    return configuration.tenantByKeyHash(hash(key));
  }

  /** Returns the SHA-256 hash of a key in hex, as in the configuration. */
  public static String hash(String key) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      return HexFormat.of().formatHex(digest.digest(key.getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("SHA-256 is not available", e);
    }
  }
}
