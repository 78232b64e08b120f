package io.pathdeck.fleet.gateway;

import io.pathdeck.fleet.adapter.EngineTenant;
import io.pathdeck.protocol.fleet.CallerTenant;

/** The identity of a caller, derived from its API key. */
sealed interface CallerIdentity {
  /** The fleet has no tenants, so callers need no keys. */
  record AuthenticationDisabled() implements CallerIdentity {}

  /** The route allows anonymous callers, and the request has no valid key. */
  record Anonymous() implements CallerIdentity {}

  /** The key belongs to a tenant. */
  record Authenticated(CallerTenant tenant) implements CallerIdentity {}

  /** A key is required but is missing or belongs to no tenant. */
  record MissingOrUnknownKey() implements CallerIdentity {}

  /** Returns the tenant's name; empty if there is none. */
  default String tenantName() {
    return this instanceof Authenticated authenticated ? authenticated.tenant().name() : "";
  }

  /** Returns the tenant's priority; the default 0 if there is no tenant. */
  default int tenantPriority() {
    return this instanceof Authenticated authenticated ? authenticated.tenant().priority() : 0;
  }

  /** Returns the tenant to report to engines. */
  default EngineTenant toEngineTenant() {
    if (this instanceof AuthenticationDisabled) {
      return new EngineTenant.PassThrough();
    }
    return this instanceof Authenticated authenticated
        ? new EngineTenant.Named(authenticated.tenant().name())
        : new EngineTenant.Anonymous();
  }
}
