package io.pathdeck.fleet.queue;

import io.pathdeck.protocol.fleet.CallerTenant;
import io.pathdeck.protocol.fleet.RouteTable;

/** Decides whether requests are queued: their order matters only if callers compete for engines. */
public final class QueueActivation {
  private QueueActivation() {}

  /** Whether the configuration declares tenants with limits or priorities. */
  public static boolean hasTenantPolicies(RouteTable routes) {
    return routes.tenants().stream().anyMatch(QueueActivation::hasPolicy);
  }

  private static boolean hasPolicy(CallerTenant tenant) {
    return tenant.isLimited() || tenant.priority() != 0;
  }
}
