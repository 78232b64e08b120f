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
 * Tracks, at the leading coordinator, what all gateways admit of rate-limited tenants.
 *
 * <p>Nothing is replicated: each heartbeat of a gateway reports its whole window, so a new leader
 * is complete after one round of heartbeats. Requests granted since a gateway's last heartbeat are
 * added to it. A gateway that is silent still counts for one more window.
 */
public final class TenantLedger {
  /**
   * Share of its limit from which a tenant is contended. Gateways learn of it within a heartbeat
   * interval of 300 ms; the other half covers what they admit until then, at up to six times the
   * limit's rate for a window of 5 s.
   */
  private static final double CONTENTION_START_SHARE = 0.5;

  /** Share of its limit below which a tenant is no longer contended; lower, to prevent flapping. */
  private static final double CONTENTION_END_SHARE = 0.3;

  /**
   * Tolerance for reports that are up to 300 ms old and still count requests that left the window:
   * 300 ms are 6 percent of a window of 5 s.
   */
  private static final double STALENESS_FACTOR = 1.05;

  /** The same as a number of requests, for small limits of which 5 percent are less than one. */
  private static final double STALENESS_ALLOWANCE_REQUESTS = 2;

  private record GatewayIncarnation(String gateway, long incarnation) {}

  /** State of one gateway. */
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
   * @param windowMs the length of the window over which limits apply
   */
  public TenantLedger(long windowMs) {
    this.windowMs = windowMs;
  }

  /** Clears the ledger when this coordinator becomes leader. */
  public void clear() {
    gateways.clear();
    totals.clear();
    contended.clear();
  }

  /** Replaces a gateway's counts by those of its latest heartbeat. */
  public void onHeartbeat(String gateway, long incarnation, List<TenantUse> uses, long nowMs) {
    GatewayState state =
        gateways.computeIfAbsent(
            new GatewayIncarnation(gateway, incarnation), key -> new GatewayState());
    subtract(state);
    state.lastHeardMs = nowMs;
    state.grantedSinceReport.clear();
    Map<String, Integer> reported = new HashMap<>();
    uses.forEach(use -> reported.put(use.tenant(), use.admitted()));
    state.reported = reported;
    reported.forEach((tenant, admitted) -> totals.merge(tenant, admitted, Integer::sum));
  }

  private void subtract(GatewayState gateway) {
    gateway.reported.forEach((tenant, admitted) -> totals.merge(tenant, -admitted, Integer::sum));
    gateway.grantedSinceReport.forEach(
        (tenant, granted) -> totals.merge(tenant, -granted, Integer::sum));
  }

  /** Removes gateways that were silent for a whole window. */
  public void expire(long nowMs) {
    gateways
        .values()
        .removeIf(
            gateway -> {
              boolean expired = nowMs - gateway.lastHeardMs > windowMs;
              if (expired) {
                subtract(gateway);
              }
              return expired;
            });
  }

  /** Returns the tenants whose requests gateways must ask the leader about. */
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
    boolean wasContended = contended.contains(tenant.name());
    double threshold =
        tenant.maxRequestsIn(windowMs)
            * (wasContended ? CONTENTION_END_SHARE : CONTENTION_START_SHARE);
    boolean isContended = admitted(tenant.name()) >= threshold;
    if (isContended && !wasContended) {
      contended.add(tenant.name());
    } else if (!isContended && wasContended) {
      contended.remove(tenant.name());
    }
    return isContended;
  }

  /** Admits one request at a gateway if the tenant stays within its limit. */
  public boolean tryAdmit(String gateway, long incarnation, CallerTenant tenant, long nowMs) {
    double max = tenant.maxRequestsIn(windowMs) * STALENESS_FACTOR + STALENESS_ALLOWANCE_REQUESTS;
    if (admitted(tenant.name()) + 1 > max) {
      return false;
    }
    GatewayState state =
        gateways.computeIfAbsent(
            new GatewayIncarnation(gateway, incarnation), key -> new GatewayState());
    state.lastHeardMs = Math.max(state.lastHeardMs, nowMs);
    state.grantedSinceReport.merge(tenant.name(), 1, Integer::sum);
    totals.merge(tenant.name(), 1, Integer::sum);
    return true;
  }

  /** Returns the requests of a tenant that all gateways admitted in the window. */
  public int admitted(String tenant) {
    return totals.getOrDefault(tenant, 0);
  }
}
