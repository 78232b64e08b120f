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
 * What one gateway admits of limited tenants; confined to one thread.
 *
 * <p>A tenant far below its limit is admitted at once. A contended one, near its limit, is admitted
 * request by request by the leading coordinator. While the leader does not answer, a gateway admits
 * no more of a contended tenant than it had in its window when the leader was heard last, so the
 * fleet as a whole stays where it was.
 */
public final class AdmissionController {
  /** What to do with a request. */
  public enum Decision {
    ADMIT,
    ASK_LEADER,

    /** The leader has just refused a request of the tenant. */
    REFUSE,

    /** The leader was not heard for so long that the fleet may be at the limit. */
    UNDECIDED
  }

  /**
   * How long requests are refused without a question after the leader refused one. A place frees
   * every few ms for a large tenant; a caller that floods costs one question in this time.
   */
  private static final long REFUSAL_TTL_MS = 50;

  /**
   * How long after the leader's last word a tenant that was not contended is admitted freely. Later
   * a gateway admits at most twice what it held: the fleet was below half of the limit.
   */
  private static final long LEADER_UPDATE_TTL_MS = 1_000;

  /** One tenant at this gateway. */
  private static final class TenantState {
    final SlidingWindowCounter admitted;
    int admittedAtLastUpdate;
    long refusedUntilMs = Long.MIN_VALUE;

    TenantState(long windowMs) {
      admitted = new SlidingWindowCounter(windowMs);
    }
  }

  private final long windowMs;
  private final Map<String, TenantState> tenants = new HashMap<>();
  private Set<String> contended = Set.of();
  private long lastUpdateMs;

  /**
   * Creates the admissions of a gateway.
   *
   * @param windowMs the span over which limits hold
   */
  public AdmissionController(long windowMs, long nowMs) {
    this.windowMs = windowMs;
    this.lastUpdateMs = nowMs;
  }

  /** Decides on a request of a limited tenant. */
  public Decision decide(String tenant, long nowMs) {
    if (!contended.contains(tenant)) {
      return mayAdmitLocally(tenant, nowMs) ? Decision.ADMIT : Decision.UNDECIDED;
    }
    TenantState known = tenants.get(tenant);
    boolean justRefused = known != null && nowMs < known.refusedUntilMs;
    return justRefused ? Decision.REFUSE : Decision.ASK_LEADER;
  }

  private boolean mayAdmitLocally(String tenant, long nowMs) {
    if (nowMs - lastUpdateMs <= LEADER_UPDATE_TTL_MS) {
      return true;
    }
    TenantState known = tenant(tenant);
    return known.admitted.total(nowMs) <= 2 * known.admittedAtLastUpdate;
  }

  /** Whether to admit a request about which the leader was asked and did not answer. */
  public boolean mayAdmitWithoutLeader(String tenant, long nowMs) {
    TenantState known = tenant(tenant);
    return known.admitted.total(nowMs) < known.admittedAtLastUpdate;
  }

  /** A request was admitted and goes to an engine. */
  public void onAdmitted(String tenant, long nowMs) {
    tenant(tenant).admitted.add(nowMs);
  }

  /** The leader refused a request. */
  public void onRefused(String tenant, long nowMs) {
    tenant(tenant).refusedUntilMs = nowMs + REFUSAL_TTL_MS;
  }

  /** The leader told which tenants are near their limits. */
  public void onContendedTenants(List<String> nearLimit, long nowMs) {
    contended = new HashSet<>(nearLimit);
    lastUpdateMs = nowMs;
    for (TenantState tenant : tenants.values()) {
      tenant.admittedAtLastUpdate = tenant.admitted.total(nowMs);
    }
  }

  /** What to tell the leader: the tenants of which something was admitted in the window. */
  public List<TenantUse> tenantUses(long nowMs) {
    List<TenantUse> uses = new ArrayList<>();
    Iterator<Map.Entry<String, TenantState>> entries = tenants.entrySet().iterator();
    while (entries.hasNext()) {
      Map.Entry<String, TenantState> entry = entries.next();
      int admitted = entry.getValue().admitted.total(nowMs);
      if (admitted > 0) {
        uses.add(new TenantUse(entry.getKey(), admitted));
      } else if (nowMs >= entry.getValue().refusedUntilMs) {
        entries.remove();
      }
    }
    return uses;
  }

  private TenantState tenant(String name) {
    return tenants.computeIfAbsent(name, added -> new TenantState(windowMs));
  }
}
