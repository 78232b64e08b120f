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
 * Tracks, at the leading coordinator, the requests of rate-limited tenants that all gateways admit.
 *
 * <p>Nothing is replicated: each heartbeat of a gateway reports the counts of its whole window, so
 * a new leader is complete after one round of heartbeats. Requests that the leader granted since a
 * gateway's last heartbeat are added to its counts. The counts of a silent gateway expire after one
 * window.
 */
public final class TenantLedger {
  /**
   * Share of its limit from which a tenant is contended. Gateways learn of it with their next
   * heartbeat, within 300 ms; the other half covers what they admit until then, at up to six times
   * the rate of the limit for a window of 5 s.
   */
  private static final double CONTENTION_START_SHARE = 0.5;

  /** Share of its limit below which a tenant is no longer contended; lower, to prevent flapping. */
  private static final double CONTENTION_END_SHARE = 0.3;

  /**
   * Tolerance for counts that still include requests that have left the window. Counts are up to
   * one heartbeat interval old, about a twentieth of the default window.
   */
  private static final double STALENESS_FACTOR = 1.05;

  /** Added to the tolerance for small limits, of which 5 percent are less than one request. */
  private static final double STALENESS_ALLOWANCE_REQUESTS = 2;

  private record GatewayIncarnation(String gateway, long incarnation) {}

  /** State of one gateway. */
  private static final class GatewayState {
    long lastHeardMs;
    Map<String, Integer> reportedByTenant = Map.of();
    final Map<String, Integer> grantedSinceReport = new HashMap<>();
  }

  private final long windowMs;
  private final Map<GatewayIncarnation, GatewayState> gateways = new HashMap<>();
  private final Map<String, Integer> admittedByTenant = new HashMap<>();
  private final Set<String> contendedTenants = new HashSet<>();

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
    admittedByTenant.clear();
    contendedTenants.clear();
  }

  /** Replaces a gateway's counts with those of its latest heartbeat. */
  public void onHeartbeat(String gateway, long incarnation, List<TenantUse> uses, long nowMs) {
    GatewayState state =
        gateways.computeIfAbsent(
            new GatewayIncarnation(gateway, incarnation), key -> new GatewayState());
    subtract(state);
    state.lastHeardMs = nowMs;
    state.grantedSinceReport.clear();
    Map<String, Integer> reported = new HashMap<>();
    uses.forEach(use -> reported.put(use.tenant(), use.admitted()));
    state.reportedByTenant = reported;
    reported.forEach((tenant, admitted) -> admittedByTenant.merge(tenant, admitted, Integer::sum));
  }

  private void subtract(GatewayState gateway) {
    gateway.reportedByTenant.forEach(
        (tenant, admitted) -> admittedByTenant.merge(tenant, -admitted, Integer::sum));
    gateway.grantedSinceReport.forEach(
        (tenant, granted) -> admittedByTenant.merge(tenant, -granted, Integer::sum));
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

  /**
   * Updates and returns the tenants near their limits, whose requests gateways must ask the leader
   * about.
   */
  public List<String> contendedTenants(List<CallerTenant> tenants) {
    List<String> names = new ArrayList<>();
    for (CallerTenant tenant : tenants) {
      if (tenant.isLimited() && updateContention(tenant)) {
        names.add(tenant.name());
      }
    }
    return names;
  }

  private boolean updateContention(CallerTenant tenant) {
    boolean wasContended = contendedTenants.contains(tenant.name());
    double threshold =
        tenant.maxRequestsIn(windowMs)
            * (wasContended ? CONTENTION_END_SHARE : CONTENTION_START_SHARE);
    boolean isContended = admittedRequests(tenant.name()) >= threshold;
    if (isContended && !wasContended) {
      contendedTenants.add(tenant.name());
    } else if (!isContended && wasContended) {
      contendedTenants.remove(tenant.name());
    }
    return isContended;
  }

  /** Admits and counts one request at a gateway if the tenant stays within its limit. */
  public boolean tryAdmit(String gateway, long incarnation, CallerTenant tenant, long nowMs) {
    double max = tenant.maxRequestsIn(windowMs) * STALENESS_FACTOR + STALENESS_ALLOWANCE_REQUESTS;
    if (admittedRequests(tenant.name()) + 1 > max) {
      return false;
    }
    GatewayState state =
        gateways.computeIfAbsent(
            new GatewayIncarnation(gateway, incarnation), key -> new GatewayState());
    state.lastHeardMs = Math.max(state.lastHeardMs, nowMs);
    state.grantedSinceReport.merge(tenant.name(), 1, Integer::sum);
    admittedByTenant.merge(tenant.name(), 1, Integer::sum);
    return true;
  }

  /** Returns the requests of a tenant that all gateways admitted in the window. */
  public int admittedRequests(String tenant) {
    return admittedByTenant.getOrDefault(tenant, 0);
  }
}
