package io.pathdeck.fleet.queue;

import io.pathdeck.protocol.fleet.CallerTenant;
import io.pathdeck.protocol.fleet.RouteTable;

/** Whether a configuration lets callers compete, so that the order of their requests matters. */
public final class QueueSwitch {
  private QueueSwitch() {}

  /** Whether the configuration declares tenants with limits or priorities. */
  public static boolean callersCompete(RouteTable routes) {
    return routes.tenants().stream().anyMatch(QueueSwitch::competes);
  }

  private static boolean competes(CallerTenant tenant) {
    return tenant.isLimited() || tenant.priority() != 0;
  }
}
