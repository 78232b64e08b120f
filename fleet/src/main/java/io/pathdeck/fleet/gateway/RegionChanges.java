package io.pathdeck.fleet.gateway;

import io.pathdeck.protocol.fleet.CallerTenant;
import io.pathdeck.protocol.fleet.RouteKind;
import io.pathdeck.protocol.fleet.RouteSpec;
import io.pathdeck.protocol.fleet.RouteTable;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Tracks changes of the regions that may store batch jobs; confined to one thread.
 *
 * <p>After such a change, a job that a caller sends again may map to another group than the one
 * that accepted it.
 */
final class RegionChanges {
  /** How long callers may send an accepted job again. */
  static final long RESUBMISSION_WINDOW_NS = TimeUnit.SECONDS.toNanos(120);

  private Map<String, List<String>> statedRegions = Map.of();
  private boolean everChanged;
  private long changedAtNs;

  void onRoutes(RouteTable routes, long nowNs) {
    Map<String, List<String>> newRegions = new HashMap<>();
    for (RouteSpec route : routes.routes()) {
      if (route.kind() == RouteKind.BATCH && !route.allowedRegions().isEmpty()) {
        newRegions.put("route " + route.name(), route.allowedRegions());
      }
    }
    for (CallerTenant tenant : routes.tenants()) {
      if (!tenant.allowedRegions().isEmpty()) {
        newRegions.put("tenant " + tenant.name(), tenant.allowedRegions());
      }
    }
    if (!newRegions.equals(statedRegions)) {
      statedRegions = newRegions;
      everChanged = true;
      changedAtNs = nowNs;
    }
  }

  /** Whether callers may still send jobs again that were accepted before the last change. */
  boolean isRecent(long nowNs) {
    return everChanged && nowNs - changedAtNs < RESUBMISSION_WINDOW_NS;
  }
}
