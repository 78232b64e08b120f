package io.pathdeck.fleet.gateway;

import io.pathdeck.fleet.adapter.EngineTenant;
import io.pathdeck.protocol.fleet.CallerTenant;

/** Who sent a request, as far as its key tells. */
sealed interface CallerIdentity {
  /** The fleet has no tenants, and callers carry no keys. */
  record AuthenticationDisabled() implements CallerIdentity {}

  /** The route is open to callers without a key, and none was given. */
  record Anonymous() implements CallerIdentity {}

  /** The key is a tenant's. */
  record Authenticated(CallerTenant tenant) implements CallerIdentity {}

  /** A key is needed, and there is none or one that no tenant has. */
  record MissingOrUnknownKey() implements CallerIdentity {}

  /** The name of the tenant; empty when none is known. */
  default String tenantName() {
    return this instanceof Authenticated known ? known.tenant().name() : "";
  }

  /** The priority of the tenant; that of an unranked one when none is known. */
  default int tenantPriority() {
    return this instanceof Authenticated known ? known.tenant().priority() : 0;
  }

  /** What engines are told. */
  default EngineTenant toEngineTenant() {
    if (this instanceof AuthenticationDisabled) {
      return new EngineTenant.PassThrough();
    }
    return this instanceof Authenticated known
        ? new EngineTenant.Named(known.tenant().name())
        : new EngineTenant.Anonymous();
  }
}
