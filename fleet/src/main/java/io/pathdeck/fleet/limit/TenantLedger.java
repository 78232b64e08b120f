package io.pathdeck.fleet.limit;

import io.pathdeck.protocol.fleet.CallerTenant;
import io.pathdeck.protocol.fleet.TenantUse;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What all gateways together admit of limited tenants, as the leading coordinator knows it.
 *
 * <p>Nothing of it is replicated: each heartbeat of a gateway tells its whole window, so a new
 * leader knows all after one round of heartbeats. What a gateway was granted since its last
 * heartbeat is added to it. A gateway that is not heard of any more counts for one more window.
 */
public final class TenantLedger {
  /**
   * From which part of its limit on a tenant is contended. Gateways hear of it within a heartbeat's
   * interval of 300 ms; the other half is room for what they admit until then, at up to six times
   * the rate of the limit for a window of 5 s.
   */
  private static final double CONTENTION_START_SHARE = 0.5;

  /** A contended tenant is so until it is below this part, so that it does not flap. */
  private static final double CONTENTION_END_SHARE = 0.3;

  /**
   * Windows are told up to 300 ms late, so what has left them still counts: 300 ms of a window of 5
   * s are 6 in 100.
   */
  private static final double STALENESS_FACTOR = 1.05;

  /**
   * The same in requests, for tenants of few requests, of which a share is less than one request.
   */
  private static final double STALENESS_ALLOWANCE_REQUESTS = 2;

  private record GatewayIncarnation(String gateway, long incarnation) {}

  /** What is known of one gateway. */
  private static final class GatewayState {
    long lastHeardMs;
    Map<String, Integer> reported = Map.of();
    final Map<String, Integer> grantedSinceReport = new HashMap<>();
  }

  private final long windowMs;
  private final Map<GatewayIncarnation, GatewayState> gateways = new HashMap<>();
  private final Map<String, Integer> totals = new HashMap<>();
  private final Set<String> contended = new HashSet<>();

  /**
   * Creates an empty ledger.
   *
   * @param windowMs the span over which limits hold
   */
  public TenantLedger(long windowMs) {
    this.windowMs = windowMs;
  }

  /** Forgets everything, for a new leadership. */
  public void clear() {
    gateways.clear();
    totals.clear();
    contended.clear();
  }

  /** Takes what a gateway tells of its window. */
  public void onHeartbeat(String gateway, long life, List<TenantUse> uses, long nowMs) {
    GatewayState known =
        gateways.computeIfAbsent(new GatewayIncarnation(gateway, life), l -> new GatewayState());
    subtract(known);
    known.lastHeardMs = nowMs;
    known.grantedSinceReport.clear();
    Map<String, Integer> told = new HashMap<>();
    uses.forEach(use -> told.put(use.tenant(), use.admitted()));
    known.reported = told;
    told.forEach((tenant, admitted) -> totals.merge(tenant, admitted, Integer::sum));
  }

  private void subtract(GatewayState gateway) {
    gateway.reported.forEach((tenant, admitted) -> totals.merge(tenant, -admitted, Integer::sum));
    gateway.grantedSinceReport.forEach(
        (tenant, granted) -> totals.merge(tenant, -granted, Integer::sum));
  }

  /** Forgets gateways whose last window is over. */
  public void expire(long nowMs) {
    gateways
        .values()
        .removeIf(
            gateway -> {
              boolean over = nowMs - gateway.lastHeardMs > windowMs;
              if (over) {
                subtract(gateway);
              }
              return over;
            });
  }

  /** The tenants whose requests gateways are to ask for. */
  public List<String> contended(List<CallerTenant> tenants) {
    List<String> names = new ArrayList<>();
    for (CallerTenant tenant : tenants) {
      if (tenant.isLimited() && updateContention(tenant)) {
        names.add(tenant.name());
      }
    }
    return names;
  }

  private boolean updateContention(CallerTenant tenant) {
    boolean was = contended.contains(tenant.name());
    double from =
        tenant.maxRequestsIn(windowMs) * (was ? CONTENTION_END_SHARE : CONTENTION_START_SHARE);
    boolean is = admitted(tenant.name()) >= from;
    if (is && !was) {
      contended.add(tenant.name());
    } else if (!is && was) {
      contended.remove(tenant.name());
    }
    return is;
  }

  /** Admits one request of a tenant at a gateway when that keeps the tenant within its limit. */
  public boolean tryAdmit(String gateway, long life, CallerTenant tenant, long nowMs) {
    double most = tenant.maxRequestsIn(windowMs) * STALENESS_FACTOR + STALENESS_ALLOWANCE_REQUESTS;
    if (admitted(tenant.name()) + 1 > most) {
      return false;
    }
    GatewayState known =
        gateways.computeIfAbsent(new GatewayIncarnation(gateway, life), l -> new GatewayState());
    known.lastHeardMs = Math.max(known.lastHeardMs, nowMs);
    known.grantedSinceReport.merge(tenant.name(), 1, Integer::sum);
    totals.merge(tenant.name(), 1, Integer::sum);
    return true;
  }

  /** The requests of a tenant that all gateways have admitted in the window. */
  public int admitted(String tenant) {
    return totals.getOrDefault(tenant, 0);
  }
}
