package io.pathdeck.fleet.queue;

import io.pathdeck.protocol.fleet.CallerTenant;
import io.pathdeck.protocol.fleet.RouteTable;

/**
 * Detects configurations in which callers compete for engines, so that requests are queued by rank.
 */
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
