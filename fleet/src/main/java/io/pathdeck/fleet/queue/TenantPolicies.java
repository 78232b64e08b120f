package io.pathdeck.fleet.queue;

import io.pathdeck.protocol.fleet.CallerTenant;
import io.pathdeck.protocol.fleet.RouteTable;

/** Detects tenants with limits or priorities, which make callers compete for engines. */
public final class TenantPolicies {
  private TenantPolicies() {}

  public static boolean existIn(RouteTable routes) {
    return routes.tenants().stream().anyMatch(TenantPolicies::hasPolicy);
  }

  private static boolean hasPolicy(CallerTenant tenant) {
    return tenant.isLimited() || tenant.priority() != 0;
  }
}
