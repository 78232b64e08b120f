package io.pathdeck.fleet.gateway;

import io.pathdeck.protocol.fleet.CallerTenant;
import io.pathdeck.protocol.fleet.KeyDigest;
import io.pathdeck.protocol.fleet.RouteTable;
import java.util.HashMap;
import java.util.Map;

/** The tenants of one configuration by the digests of their API keys; keeps no plaintext keys. */
final class CallerKeys {
  /** Used before the first configuration arrives. */
  static final CallerKeys NONE = new CallerKeys(false, new byte[0]);

  private final boolean required;
  private final byte[] salt;
  private final Map<String, CallerTenant> tenants = new HashMap<>();

  private CallerKeys(boolean required, byte[] salt) {
    this.required = required;
    this.salt = salt;
  }

  /** Returns whether calls without a key may be refused. */
  boolean isRequired() {
    return required;
  }

  static CallerKeys of(RouteTable table) {
    CallerKeys keys = new CallerKeys(table.requiresKeys(), table.keySalt());
    for (CallerTenant tenant : table.tenants()) {
      tenant.keyDigests().forEach(digest -> keys.tenants.put(digest, tenant));
    }
    return keys;
  }

  /**
   * Identifies the caller with {@code key}.
   *
   * @param key as the caller sent it; empty if it sent none
   * @param anonymousAllowed whether the call needs no key
   */
  CallerIdentity identify(String key, boolean anonymousAllowed) {
    if (!required) {
      return new CallerIdentity.AuthenticationDisabled();
    }
    CallerTenant tenant = key.isEmpty() ? null : tenants.get(KeyDigest.of(salt, key));
    if (tenant != null) {
      return new CallerIdentity.Authenticated(tenant);
    }
    return anonymousAllowed
        ? new CallerIdentity.Anonymous()
        : new CallerIdentity.MissingOrUnknownKey();
  }
}
