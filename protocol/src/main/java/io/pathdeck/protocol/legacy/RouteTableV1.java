package io.pathdeck.protocol.legacy;

import io.pathdeck.protocol.fleet.CallerLimits;
import io.pathdeck.protocol.fleet.RouteTable;
import java.util.List;

/** A {@link RouteTable} of earlier forms of routes, services and tenants. */
public record RouteTableV1(
    long version,
    List<RouteSpecV1> routes,
    List<ServiceLimitsV1> services,
    CallerLimits limits,
    List<CallerTenantV1> tenants,
    byte[] keySalt,
    byte[] document) {
  /** Converts to the current form. */
  public RouteTable toCurrent() {
    return new RouteTable(
        version,
        routes.stream().map(RouteSpecV1::toCurrent).toList(),
        services.stream().map(ServiceLimitsV1::toCurrent).toList(),
        limits,
        tenants.stream().map(CallerTenantV1::toCurrent).toList(),
        keySalt,
        document);
  }
}
