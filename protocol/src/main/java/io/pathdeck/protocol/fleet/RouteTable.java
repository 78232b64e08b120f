package io.pathdeck.protocol.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * A whole configuration of routes and services under its version.
 *
 * @param limits what callers may send
 * @param tenants who may send requests; none: callers need no key
 * @param keySalt the salt of the digests of the tenants' keys
 * @param document the configuration as the operator sent it
 */
public record RouteTable(
    long version,
    List<RouteSpec> routes,
    List<ServiceLimits> services,
    CallerLimits limits,
    List<CallerTenant> tenants,
    byte[] keySalt,
    byte[] document) {
  /** The version below every version that an operator can send. */
  public static final long NO_VERSION = Long.MIN_VALUE;

  public RouteTable {
    routes = new ArrayList<>(routes);
    services = new ArrayList<>(services);
    tenants = new ArrayList<>(tenants);
  }

  /** The same table without its document, for processes that only act on it. */
  public RouteTable withoutDocument() {
    return new RouteTable(version, routes, services, limits, tenants, keySalt, new byte[0]);
  }

  /** The route of the longest prefix that begins {@code path} on {@code host}. */
  public Optional<RouteSpec> match(String host, String path) {
    RouteSpec best = null;
    for (RouteSpec route : routes) {
      boolean matches = route.host().equals(host) && path.startsWith(route.pathPrefix());
      boolean longer = best == null || route.pathPrefix().length() > best.pathPrefix().length();
      if (matches && longer) {
        best = route;
      }
    }
    return Optional.ofNullable(best);
  }

  /** Whether callers have to prove by a key which tenant they belong to. */
  public boolean requiresKeys() {
    return !tenants.isEmpty();
  }

  /** The tenant of this name. */
  public Optional<CallerTenant> tenant(String name) {
    return tenants.stream().filter(tenant -> tenant.name().equals(name)).findFirst();
  }

  /** The limits of a service, when the configuration names it. */
  public Optional<ServiceLimits> service(String name) {
    return services.stream().filter(service -> service.name().equals(name)).findFirst();
  }
}
