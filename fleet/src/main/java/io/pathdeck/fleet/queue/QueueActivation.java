package io.pathdeck.fleet.queue;

import io.pathdeck.protocol.fleet.CallerTenant;
import io.pathdeck.protocol.fleet.RouteTable;

/** Whether a configuration lets callers compete, so that the order of their requests matters. */
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
