package io.pathdeck.fleet.limit;

import io.pathdeck.protocol.fleet.TenantUse;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Admits requests of rate-limited tenants at one gateway; confined to one thread.
 *
 * <p>Requests of a tenant far below its limit are admitted locally. A tenant near its limit is
 * called contended; the leading coordinator decides about each of its requests. While the leader
 * does not respond, a gateway admits no more requests of a contended tenant than its window held at
 * the leader's last update, so that the total of the fleet does not grow.
 */
public final class AdmissionController {
  /** How to proceed with a request. */
  public enum Decision {
    ADMIT,
    ASK_LEADER,

    /** The leader recently refused a request of the tenant. */
    REFUSE,

    /** The leader has been silent for so long that the fleet may be at the limit. */
    UNDECIDED
  }

  /**
   * How long a refusal by the leader also applies to later requests of the tenant, which limits a
   * flood to one query per period. Short, since a large tenant's limit has room again within
   * milliseconds.
   */
  private static final long REFUSAL_TTL_MS = 50;

  /**
   * How long after the leader's last update a tenant that is not contended is admitted without
   * bound. After that, a gateway admits at most twice the requests that its window held at that
   * update, since the fleet was then below half of the limit.
   */
  private static final long LEADER_UPDATE_TTL_MS = 1_000;

  /** State of one tenant at this gateway. */
  private static final class TenantState {
    final SlidingWindowCounter admittedRequests;
    int admittedAtLastUpdate;
    long refusedUntilMs = Long.MIN_VALUE;

    TenantState(long windowMs) {
      admittedRequests = new SlidingWindowCounter(windowMs);
    }
  }

  private final long windowMs;
  private final Map<String, TenantState> tenants = new HashMap<>();
  private Set<String> contendedTenants = Set.of();
  private long lastUpdateMs;

  /** Creates a controller for limits that apply over windows of {@code windowMs}. */
  public AdmissionController(long windowMs, long nowMs) {
    this.windowMs = windowMs;
    this.lastUpdateMs = nowMs;
  }

  public Decision decide(String tenant, long nowMs) {
    if (!contendedTenants.contains(tenant)) {
      return mayAdmitLocally(tenant, nowMs) ? Decision.ADMIT : Decision.UNDECIDED;
    }
    TenantState state = tenants.get(tenant);
    boolean justRefused = state != null && nowMs < state.refusedUntilMs;
    return justRefused ? Decision.REFUSE : Decision.ASK_LEADER;
  }

  private boolean mayAdmitLocally(String tenant, long nowMs) {
    if (nowMs - lastUpdateMs <= LEADER_UPDATE_TTL_MS) {
      return true;
    }
    TenantState state = tenant(tenant);
    return state.admittedRequests.total(nowMs) <= 2 * state.admittedAtLastUpdate;
  }

  /** Returns whether to admit a request after the leader did not respond to a query about it. */
  public boolean mayAdmitWithoutLeader(String tenant, long nowMs) {
    TenantState state = tenant(tenant);
    return state.admittedRequests.total(nowMs) < state.admittedAtLastUpdate;
  }

  /** Records that a request was admitted and is sent to an engine. */
  public void onAdmitted(String tenant, long nowMs) {
    tenant(tenant).admittedRequests.add(nowMs);
  }

  /** Records that the leader refused a request. */
  public void onRefused(String tenant, long nowMs) {
    tenant(tenant).refusedUntilMs = nowMs + REFUSAL_TTL_MS;
  }

  /**
   * Handles an update by the leader: replaces the contended tenants and records the current counts,
   * which bound admissions while the leader is silent.
   */
  public void onContendedTenants(List<String> tenantsNearLimit, long nowMs) {
    contendedTenants = new HashSet<>(tenantsNearLimit);
    lastUpdateMs = nowMs;
    for (TenantState tenant : tenants.values()) {
      tenant.admittedAtLastUpdate = tenant.admittedRequests.total(nowMs);
    }
  }

  /** Returns the tenants with requests admitted in the window, to report to the leader. */
  public List<TenantUse> tenantUses(long nowMs) {
    List<TenantUse> uses = new ArrayList<>();
    Iterator<Map.Entry<String, TenantState>> entries = tenants.entrySet().iterator();
    while (entries.hasNext()) {
      Map.Entry<String, TenantState> entry = entries.next();
      int admitted = entry.getValue().admittedRequests.total(nowMs);
      if (admitted > 0) {
        uses.add(new TenantUse(entry.getKey(), admitted));
      } else if (nowMs >= entry.getValue().refusedUntilMs) {
        entries.remove();
      }
    }
    return uses;
  }

  private TenantState tenant(String name) {
    return tenants.computeIfAbsent(name, key -> new TenantState(windowMs));
  }
}
